"""The soak's checks of times find what they are for, and nothing under a fault."""

import pytest

from soak.timing import Timing

VM = ("127.0.0.2", 20000)


def played(*events):
    timing = Timing([])
    for name, *arguments in events:
        getattr(timing, name)(*arguments)
    return timing._findings


LATE = (("on_leaving", "i-1", 1_000.0), ("on_sent", "b1", VM, 3_100.0))
ARRIVES = ("on_run", "b1", "i-1", "one", 3_110.0)
OLD = (
    ("on_configured", "one", 0.0),
    ("on_configured", "two", 5_000.0),
    ("on_sent", "b1", VM, 7_100.0),
)
RUNS = ("on_run", "b1", "i-1", "one", 7_110.0)
STOP = (("on_stopped", VM, 9_000.0), ("on_sent", "b1", VM, 9_500.0))
CUT = ("on_cut", "b1", 10_000.0)


@pytest.mark.parametrize(
    ("events", "text"),
    [
        ((*LATE, ARRIVES), "which leaves"),
        ((*OLD, RUNS), "old configuration"),
        ((*STOP, CUT), "planned stop"),
    ],
)
def test_what_comes_too_late_is_found(events, text):
    findings = played(*events)
    assert len(findings) == 1
    assert text in findings[0]


@pytest.mark.parametrize(
    "events",
    [
        (("on_leaving", "i-1", 1_000.0), ("on_sent", "b1", VM, 2_900.0), ARRIVES),
        (*OLD[:2], ("on_sent", "b1", VM, 6_900.0), RUNS),
        (*OLD, ("on_run", "b1", "i-1", "two", 7_110.0)),
        (
            *OLD[:2],
            ("on_sent", "q1", VM, 7_100.0),
            ("on_run", "q1", "i", "one", 7_110.0),
        ),
        (("on_stopped", VM, 9_000.0), ("on_sent", "b1", VM, 11_600.0), CUT),
        (*STOP, ("on_broken", VM, 8_000.0, 100.0), CUT),
    ],
)
def test_what_comes_in_time_is_none(events):
    assert played(*events) == []


@pytest.mark.parametrize("begins", [500.0, 3_000.0])
def test_a_fault_of_the_store_or_of_the_same_vm_excuses(begins):
    assert played(("on_fault", begins, 100.0), *LATE, ARRIVES) == []
    assert played(("on_broken", VM, begins, 100.0), *LATE, ARRIVES) == []
    other = ("127.0.0.3", 20000)
    assert len(played(("on_broken", other, begins, 100.0), *LATE, ARRIVES)) == 1
