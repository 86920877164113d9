"""Parsing, validation, editing and history of the configuration."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from galenaferry.configuration.compact import Configuration
from galenaferry.configuration.document import (
    apply_edits,
    diff_sections,
    parse_sections,
    render,
)
from galenaferry.configuration.messages import (
    Change,
    Edit,
    Head,
    Proposal,
    decode_change,
    encode_change,
    make_change,
)
from galenaferry.configuration.state import ApplyResult, ConfigurationState

VALID_TEXT = """
[defaults]
floor_percent = 70

[exception bookings]
scope = service summit-bookings
reason = a lost slot costs a guide a day
floor_percent = 80
"""

INVALID_TEXT = """[defaults]
floor_percent = 170
colour = red

[exception nameless]
scope = planet mars
floor_percent = x

[exception twice]
scope = service a
reason = first
floor_percent = 10

[exception again]
scope = service a
reason = second
floor_percent = 20

[stray]
a = 1
"""


def test_valid_text_survives_a_round_trip():
    sections = parse_sections("a.ini", VALID_TEXT).ok()
    assert parse_sections("b.ini", render(sections)).ok() == sections


def test_all_findings_are_returned_with_their_lines():
    findings = parse_sections("fleet.ini", INVALID_TEXT).err()
    assert [str(finding) for finding in findings] == [
        "fleet.ini:2: [defaults] floor_percent: 170 is outside 0 to 100",
        "fleet.ini:3: [defaults] colour: unknown key",
        "fleet.ini:5: [exception nameless] reason: an exception needs a written reason",
        "fleet.ini:6: [exception nameless] scope: the scope must be 'service NAME', 'route METHOD|* /PREFIX', 'zone NAME' or 'instance IP:PORT'",
        "fleet.ini:7: [exception nameless] floor_percent: 'x' is not a whole number",
        "fleet.ini:17: [exception again] floor_percent: the section [exception twice] sets this key for the same scope",
        "fleet.ini:19: [stray]: unknown section",
    ]


def test_text_that_is_no_ini_is_a_finding():
    findings = parse_sections("x.ini", "floor_percent = 1\n").err()
    assert findings[0].line == 1


names = st.sampled_from(["defaults", "exception a", "exception b"])
keys = st.sampled_from(["floor_percent", "reason", "scope"])
sections_strategy = st.dictionaries(
    names, st.dictionaries(keys, st.text("abc 1", min_size=1), min_size=1), max_size=3
)


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(sections_strategy, sections_strategy)
def test_applying_a_diff_gives_the_new_sections(old, new):
    assert apply_edits(old, diff_sections(old, new)) == new


@seed(2)
@settings(max_examples=300, deadline=None, database=None)
@given(st.text(max_size=300))
def test_any_text_is_parsed_or_gives_findings(text):
    result = parse_sections("any.ini", text)
    if result.is_err():
        assert result.err()


def proposal(change_id, base, *edits):
    return Proposal(
        change_id, base, "ana", "because", tuple(Edit(*edit) for edit in edits)
    )


def accept(state, proposed):
    change = make_change(state.head, proposed, 0.0)
    assert state.adopt(change) is ApplyResult.APPLIED
    return change


EXCEPTION = {"scope": "service s", "reason": "r", "max_attempts": "2"}


def test_an_older_version_is_never_applied():
    state = ConfigurationState()
    first = accept(state, proposal("1", 0, ("defaults", "floor_percent", "50")))
    accept(state, proposal("2", 1, ("defaults", "floor_percent", "70")))
    assert state.adopt(first) is ApplyResult.DUPLICATE
    assert not state.load_snapshot(Head(1, first.digest), Configuration())
    assert state.configuration.defaults.floor_percent == 70


def test_a_different_change_with_a_known_version_is_a_fork():
    state = ConfigurationState()
    accept(state, proposal("1", 0, ("defaults", "floor_percent", "50")))
    other = make_change(
        Head(0, ""), proposal("x", 0, ("defaults", "floor_percent", "1")), 0.0
    )
    assert state.adopt(other) is ApplyResult.FORK
    assert state.adopt(Change(2, "y", "b", "r", 0.0, (), "wrong")) is ApplyResult.FORK
    assert state.adopt(Change(9, "y", "b", "r", 0.0, (), "far")) is ApplyResult.GAP


def test_only_changes_of_the_same_key_clash():
    state = ConfigurationState()
    accept(state, proposal("1", 0, ("defaults", "floor_percent", "50")))
    accept(state, proposal("2", 1, ("defaults", "max_attempts", "2")))
    assert (
        state.clashing_changes(proposal("3", 1, ("defaults", "floor_percent", "60")))
        == []
    )
    clashes = state.clashing_changes(
        proposal("4", 1, ("defaults", "max_attempts", "5"))
    )
    assert [change.id for change in clashes] == ["2"]


def test_a_change_survives_encoding_and_decoding():
    state = ConfigurationState()
    change = accept(state, proposal("1", 0, ("defaults", "floor_percent", None)))
    assert decode_change(encode_change(change)) == change


def test_unknown_keys_give_findings():
    edits = (Edit("defaults", "colour", "red"),)
    assert Configuration().check(edits)


def test_a_change_is_checked_against_exceptions_that_it_does_not_touch():
    state = ConfigurationState()
    accept(
        state,
        proposal(
            "1", 0, *[("exception a", key, value) for key, value in EXCEPTION.items()]
        ),
    )
    edits = tuple(Edit("exception b", key, value) for key, value in EXCEPTION.items())
    findings = state.configuration.check(edits)
    assert [finding.text for finding in findings] == [
        "the section [exception a] sets this key for the same scope"
    ]


def test_removing_keys_restores_the_defaults_and_keeps_earlier_versions():
    state = ConfigurationState()
    accept(state, proposal("1", 0, ("defaults", "floor_percent", "50")))
    accept(
        state,
        proposal(
            "2", 1, *[("exception a", key, value) for key, value in EXCEPTION.items()]
        ),
    )
    before = state.configuration.sections()
    accept(
        state,
        proposal(
            "3",
            2,
            ("defaults", "floor_percent", None),
            *[("exception a", key, None) for key in EXCEPTION],
        ),
    )
    assert state.configuration.sections() == {}
    assert state.configuration.defaults.floor_percent == 60
    assert state.sections_at(2) == before
    assert state.sections_at(0) == {}


def test_an_edit_cannot_inject_another_section_or_key():
    for edit in (
        Edit("defaults", "floor_percent", "50\n[exception x]"),
        Edit("defaults]\n[stray", "floor_percent", "50"),
        Edit("defaults", "floor_percent = 1\nmax_attempts", "2"),
        Edit("defaults", "floor_percent", ""),
    ):
        assert Configuration().check((edit,))


def test_a_hash_sign_in_a_value_starts_no_comment():
    text = (
        "[exception a]\nscope = service s\nreason = see #42; twice\nmax_attempts = 2\n"
    )
    assert (
        parse_sections("a.ini", text).ok()["exception a"]["reason"] == "see #42; twice"
    )
