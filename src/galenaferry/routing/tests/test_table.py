"""Routes and the order in which exceptions apply."""

import pytest

from galenaferry.configuration.document import configure
from galenaferry.ini import Document
from galenaferry.routing.table import RouteTable

TEXT = """
[defaults]
max_attempts = 3
[exception zone]
scope = zone north
reason = slow links
max_attempts = 4
[exception service]
scope = service archives
reason = large answers
max_attempts = 5
[exception route]
scope = route * /archives/corrections
reason = must not double
idempotent = no
[exception put]
scope = route PUT /archives/corrections/notes
reason = notes are replaced whole
idempotent = yes
max_attempts = 2
[exception elsewhere]
scope = route * /old/archive
reason = renamed
service = archives
"""


@pytest.fixture
def table():
    document = Document("t.ini", TEXT)
    configuration = configure(document)
    assert document.findings == []
    return RouteTable(configuration, "north")


@pytest.mark.parametrize(
    ("method", "target", "service", "is_idempotent", "attempts"),
    [
        (b"GET", b"/new-market/x?y=1", "new-market", True, 4),
        (b"POST", b"/new-market/x", "new-market", False, 4),
        (b"GET", b"/archives/2026", "archives", True, 5),
        (b"GET", b"/archives/corrections/1", "archives", False, 5),
        (b"PUT", b"/archives/corrections/notes/7", "archives", True, 2),
        (b"POST", b"/archives/corrections/notes/7", "archives", False, 5),
        (b"GET", b"/old/archive/1", "archives", True, 5),
        (b"GET", b"/archives/correctionsx", "archives", True, 5),
    ],
)
def test_the_longest_prefix_decides(
    table, method, target, service, is_idempotent, attempts
):
    route = table.find(method, target)
    assert (route.service, route.is_idempotent, route.policy.max_attempts) == (
        service,
        is_idempotent,
        attempts,
    )


def test_an_update_takes_over_the_exceptions_that_were_touched(table):
    document = Document("u.ini", TEXT.replace("max_attempts = 5", "max_attempts = 7"))
    configuration = configure(document)
    configuration.remove("route")
    assert table.find(b"GET", b"/archives/2026").policy.max_attempts == 5
    table.update(configuration, ["service", "route"])
    assert table.find(b"GET", b"/archives/2026").policy.max_attempts == 7
    assert table.find(b"GET", b"/archives/corrections/1").is_idempotent


def test_a_path_without_a_segment_has_no_route(table):
    assert table.find(b"GET", b"/") is None
