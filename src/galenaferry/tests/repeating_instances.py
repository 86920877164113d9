"""Connections of instances that write an earlier refusal once more."""

from enum import Enum

from galenaferry.platform.headers import HEADER_NAMES
from galenaferry.tests.simulated_instances import InstanceConnection

REFUSED_SHARE = 0.4
REPEATED_SHARE = 0.5


class Copy(Enum):
    """How the copy of a refusal differs from it."""

    SAME = "with the id of the refused request"
    WITHOUT_ID = "without an id"


class When(Enum):
    """When the copy is written."""

    AFTER_REQUEST = "as soon as a later request has arrived"
    BEFORE_RESPONSE = "right before the response to a later request"
    WHILE_IDLE = "while no request is on the connection"


def repeat_refusals(monkeypatch, copy, when, age=1):
    """Let all instances refuse some requests, and repeat refusals later.

    ``age`` is the number of requests on the connection between a refusal and its copy.
    """

    class RepeatingConnection(InstanceConnection):
        def __init__(self, server, sock, vm_number):
            super().__init__(server, sock, vm_number)
            self.request_number = 0
            self.copies = {}

        def on_complete(self):
            random = self.server.fleet.random
            self.request_number += 1
            if when is When.AFTER_REQUEST:
                self.write_copy()
            if random.random() >= REFUSED_SHARE:
                super().on_complete()
                return
            if when is When.BEFORE_RESPONSE:
                self.write_copy()
            self.stream.write(self.refusal(has_id=True))
            if random.random() < REPEATED_SHARE:
                again = self.refusal(has_id=copy is Copy.SAME)
                if when is When.WHILE_IDLE:
                    self.server.fleet.loop.after(
                        20.0 * random.random(), lambda: self.write_if_open(again)
                    )
                else:
                    self.copies[self.request_number + age] = again

        def refusal(self, has_id):
            request_id = self.head.header(HEADER_NAMES.request_id)
            line = b"%b: %b\r\n" % (HEADER_NAMES.request_id, request_id)
            return (
                b"HTTP/1.1 503 Busy\r\n%bcontent-length: 0\r\n"
                b"galenaferry-not-executed: 1\r\n\r\n" % (line if has_id else b"")
            )

        def write_copy(self):
            due = [number for number in self.copies if number <= self.request_number]
            for number in due:
                self.write_if_open(self.copies.pop(number))

        def write_if_open(self, data):
            if self.stream.is_open:
                self.server.fleet.copies_written += 1
                self.stream.write(data)

        def respond(self, status, body, extra=b""):
            if when is When.BEFORE_RESPONSE:
                self.write_copy()
            super().respond(status, body, extra)

    monkeypatch.setattr(
        "galenaferry.tests.simulated_instances.InstanceConnection", RepeatingConnection
    )
