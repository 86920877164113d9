"""Route lookup and the order in which exceptions apply."""

import pytest

from galenaferry.configuration.compact import Configuration
from galenaferry.configuration.document import parse_sections
from galenaferry.configuration.messages import Edit
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
[exception a-put]
scope = route PUT /archives/notes
reason = one try
max_attempts = 1
[exception b-all]
scope = route * /archives/notes
reason = many tries
max_attempts = 9
[exception elsewhere]
scope = route * /old/archive
reason = renamed
service = archives
"""


def configure(text):
    return Configuration(parse_sections("t.ini", text).unwrap())


@pytest.fixture
def table():
    return RouteTable(configure(TEXT), "north")


@pytest.mark.parametrize(
    ("method", "target", "service", "is_idempotent", "attempts"),
    [
        (b"GET", b"/new-market/x?y=1", "new-market", True, 4),
        (b"POST", b"/new-market/x", "new-market", False, 4),
        (b"GET", b"/archives/2026", "archives", True, 5),
        (b"GET", b"/archives/corrections/1", "archives", False, 5),
        (b"PUT", b"/archives/corrections/notes/7", "archives", True, 2),
        (b"POST", b"/archives/corrections/notes/7", "archives", False, 5),
        (b"PUT", b"/archives/notes", "archives", False, 1),
        (b"GET", b"/archives/notes", "archives", True, 9),
        (b"GET", b"/old/archive/1", "archives", True, 5),
        (b"GET", b"/archives/correctionsx", "archives", True, 5),
    ],
)
def test_the_longest_prefix_with_an_exception_wins(
    table, method, target, service, is_idempotent, attempts
):
    route = table.find(method, target)
    assert (route.service, route.is_idempotent, route.policy.max_attempts) == (
        service,
        is_idempotent,
        attempts,
    )


def test_a_change_applies_to_the_next_request(table):
    configuration = configure(TEXT)
    table.replace_configuration(configuration)
    assert table.find(b"GET", b"/archives/2026").policy.max_attempts == 5
    configuration.apply((Edit("exception service", "max_attempts", "7"),))
    table.replace_configuration(configuration)
    assert table.find(b"GET", b"/archives/2026").policy.max_attempts == 7


def test_a_path_without_a_segment_has_no_route(table):
    assert table.find(b"GET", b"/") is None
