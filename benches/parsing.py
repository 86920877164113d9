"""CPU time to parse the head of a small request with httptools and with h11."""

import time

import h11
import httptools

REQUEST = (
    b"GET /depth-queries/x?y=1 HTTP/1.1\r\nHost: bench\r\nUser-Agent: bench\r\n"
    b"Accept: */*\r\nX-Request-Id: 123\r\n\r\n"
)
REPEATS = 5000


class ParserCallbacks:
    def on_header(self, name, value):
        return


def parse_httptools():
    httptools.HttpRequestParser(ParserCallbacks()).feed_data(REQUEST)


def parse_h11():
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(REQUEST)
    connection.next_event()
    connection.next_event()


def main() -> None:
    for name, parse in (("httptools", parse_httptools), ("h11", parse_h11)):
        started = time.process_time()
        for _ in range(REPEATS):
            parse()
        us_per_request = (time.process_time() - started) / REPEATS * 1e6
        print(f"{name:10} {us_per_request:6.1f} us a request")


if __name__ == "__main__":
    main()
