"""The real daemon in front of instances whose answers never end."""

import pytest

from galenaferry.callers.tests.daemon import (
    Daemon,
    EndlessConnection,
    request,
    usual_headers,
)
from galenaferry.callers.tests.test_crowd import (
    DESCRIPTORS,
    MEMORY_MB,
    assert_within_limits,
)

CALLERS = 20
FLOOD_S = 4.0
HEAD = b"HTTP/1.1 200 OK\r\n"
PART = b"x" * 65_536
CHUNK = b"10000\r\n" + PART + b"\r\n"


@pytest.mark.parametrize(
    ("first", "part"),
    [
        pytest.param(HEAD + b"Content-Length: 1000000000000\r\n\r\n", PART, id="body"),
        pytest.param(HEAD + b"\r\n", PART, id="body without a length"),
        pytest.param(HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, id="chunks"),
        pytest.param(HEAD + b"Filler: ", PART, id="head"),
        pytest.param(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000, id="hints"),
        pytest.param(b"", PART, id="no answer"),
    ],
)
def test_endless_answers_to_health_checks_stay_within_the_memory(tmp_path, first, part):
    """Guards against keeping the bodies of answers of which only the status counts."""
    with Daemon(tmp_path, MEMORY_MB, DESCRIPTORS) as daemon:
        daemon.wait_until_ready()
        daemon.instance_connection = lambda loop, sock: EndlessConnection(
            loop, sock, first, part
        )
        requests = [request("/small", headers=usual_headers("unanswered"))]
        crowd = daemon.connect(CALLERS, requests)
        daemon.run(lambda: False, FLOOD_S)
        assert_within_limits(daemon)
        assert EndlessConnection.checks > 0
        for client in crowd:
            client.stream.close()
        daemon.restore_instances()
        ordinary = request("/small", headers=usual_headers("ordinary"))
        assert daemon.is_served_again(ordinary)
        assert_within_limits(daemon)
