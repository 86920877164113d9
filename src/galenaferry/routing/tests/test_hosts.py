"""Route lookup by host and path prefix."""

from collections import Counter
from random import Random

import pytest

from galenaferry.framing.messages import RequestHead
from galenaferry.routing.hosts import HostRouteTable
from galenaferry.routing.table import MAY_LACK_ROUTE, NO_CONFIGURATION, NoRoute
from galenaferry.routing.tests.builders import document, host_route


def head(host, target):
    return RequestHead(b"GET", target, "1.1", ((b"host", host),), 0, True, False)


def routes(*rows, version=1):
    table = HostRouteTable(20, Random(1))
    table.replace_if_newer(document(version, *rows))
    return table


def test_without_a_configuration_the_route_is_not_known():
    assert HostRouteTable(20, Random(1)).route(head(b"a", b"/x/")) == NO_CONFIGURATION


@pytest.mark.parametrize(
    ("host", "target", "name"),
    [
        (b"a.example", b"/x/1", "short"),
        (b"A.example:80", b"/x/1", "short"),
        (b"a.example", b"/x/y/1?z=/x/", "long"),
        (b"a.example", b"/x/y", "short"),
        (b"a.example", b"/x", None),
        (b"b.example", b"/x/1", None),
        (b"a.example", b"*", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, target, name):
    table = routes(host_route("short", b"/x/"), host_route("long", b"/x/y/"))
    found = table.route(head(host, target))
    assert found == NoRoute() if name is None else found.name == name


def test_a_vm_that_may_lack_changes_does_not_say_that_there_is_no_route():
    is_current = [False]
    table = HostRouteTable(20, Random(1), lambda: is_current[0])
    table.replace_if_newer(document(1, host_route("short", b"/x/")))
    assert table.route(head(b"a.example", b"/new/")) == MAY_LACK_ROUTE
    assert table.route(head(b"b.example", b"/x/")) == MAY_LACK_ROUTE
    assert table.route(head(b"a.example", b"/x/1")).name == "short"
    is_current[0] = True
    assert table.route(head(b"a.example", b"/new/")) == NoRoute()


def test_services_are_chosen_in_proportion_to_their_weights():
    table = routes(
        host_route(
            "split", b"/x/", weighted_services=(("one", 90), ("two", 10), ("none", 0))
        )
    )
    count_by_service = Counter(
        table.route(head(b"a.example", b"/x/")).service for _ in range(2000)
    )
    assert count_by_service["none"] == 0
    assert 0.07 < count_by_service["two"] / 2000 < 0.13


def test_an_older_version_is_never_applied():
    table = routes(host_route("new", b"/x/"), version=5)
    assert not table.replace_if_newer(document(4, host_route("old", b"/x/")))
    assert not table.replace_if_newer(document(5, host_route("old", b"/x/")))
    assert table.route(head(b"a.example", b"/x/")).name == "new"


def test_a_newer_version_replaces_every_route_and_policy():
    table = routes(host_route("r", b"/x/", total_timeout=3000.0))
    assert table.route(head(b"a.example", b"/x/")).policy.total_timeout_ms == 3000
    table.replace_if_newer(document(2, host_route("r", b"/x/", total_timeout=1000.0)))
    assert table.route(head(b"a.example", b"/x/")).policy.total_timeout_ms == 1000
