"""Datagrams: round trips, foreign keys, corruption and random payloads."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from galenaferry.health.messages import Counts, HealthState, Report, Verdict, Verdicts
from galenaferry.membership.messages import Freshness, Heartbeat, Member
from galenaferry.peers.codec import (
    MAC_BYTES,
    Datagram,
    PeerKeys,
    _compute_mac,
    decode,
    encode,
)
from galenaferry.spreading.messages import LogName, Page, PagePull, Pull, Push

KEYS = PeerKeys(b"a key of the fleet")
ME = Member("10.0.0.1:7000", 1764806400000, 7, "north", "andes", False, 3)
MESSAGES = [
    Heartbeat(4, "digest", Freshness(12), 9, (ME, ME._replace(is_leaving=True))),
    Push(LogName.CONFIGURATION, ("one", "two")),
    Pull(LogName.VM_LIST, 17),
    PagePull(LogName.VM_LIST, 17, 6),
    Page(LogName.CONFIGURATION, 17, "d", 6, 60, ("row", "row")),
    Report((Counts(2**63, 5, 1, 2),)),
    Verdicts((Verdict(9, HealthState.PROBATION, 20, 0.5),)),
]


def test_messages_survive_a_round_trip():
    for message in MESSAGES:
        assert decode(encode(Datagram(ME, message), KEYS), KEYS).ok() == Datagram(
            ME, message
        )


def test_previous_key_is_accepted_and_unknown_key_refused():
    data = encode(Datagram(ME, MESSAGES[2]), KEYS)
    assert decode(data, PeerKeys(b"a newer key", KEYS.current)).is_ok()
    assert (
        decode(data, PeerKeys(b"a newer key")).err()
        == "message authentication code does not match"
    )


@seed(5)
@settings(max_examples=200, deadline=None, database=None)
@given(st.integers(0, 6), st.integers(0, 10_000), st.integers(1, 255))
def test_datagram_with_a_changed_byte_is_refused(index, position, difference):
    data = bytearray(encode(Datagram(ME, MESSAGES[index]), KEYS))
    data[position % len(data)] ^= difference
    assert decode(bytes(data), KEYS).is_err()


@seed(6)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=400))
def test_random_payload_is_refused_or_decoded(payload):
    result = decode(_compute_mac(payload, KEYS.current) + payload, KEYS)
    assert result.is_ok() or result.err()
    assert decode(payload[:MAC_BYTES], KEYS).is_err()
