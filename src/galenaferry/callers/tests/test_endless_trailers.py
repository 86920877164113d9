"""The real daemon in front of chunked bodies whose trailers or extensions never end."""

import pytest

from galenaferry.callers.tests.unread_clients import PART, Crowd, flood


@pytest.mark.parametrize(
    ("first", "part"),
    [
        pytest.param(b"4\r\nbody\r\n0\r\nFiller: ", PART, id="one trailer"),
        pytest.param(
            b"4\r\nbody\r\n0\r\n", b"Filler: x\r\n" * 5_000, id="many trailers"
        ),
        pytest.param(b"4;filler=", PART, id="chunk extension"),
    ],
)
def test_endless_parts_of_chunked_bodies_stay_within_the_memory(tmp_path, first, part):
    """Guards against parts of a chunked body that belong neither to head nor body."""
    head = (
        b"POST /small HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    flood(tmp_path, "callers", Crowd(40, part, 64, head + first))
