"""Encodes datagrams as a MAC followed by a packed Cap'n Proto message."""

import hashlib
import hmac
import math
from functools import lru_cache
from pathlib import Path
from typing import Any, Final, NamedTuple

import capnp
from result import Err, Ok, Result

from ..crashes.messages import CrashNote, NoteKind
from ..discovery.messages import (
    StoreVersion,
    TableNotice,
    TableRow,
    decode_version,
)
from ..health.messages import (
    Counts,
    HealthState,
    InstanceOutcome,
    Outcomes,
    Report,
    Verdict,
    Verdicts,
)
from ..health.posteriors import Outcome
from ..ini import parse_address
from ..membership.messages import Freshness, Heartbeat, Member
from ..quotas.messages import UsageReport
from ..spreading.messages import LogName, Page, PagePull, Pull, Push
from .usage_codec import fill_usage_report, read_usage_report

capnp.remove_import_hook()
SCHEMA: Final = capnp.load(str(Path(__file__).with_name("datagram.capnp")))
MAC_BYTES: Final = 16
"""Size of the message authentication code (MAC) in front of the message."""
MAX_AGE_MS: Final = 0xFFFF_FFFF
"""Longest age in milliseconds that is sent, the largest ``UInt32``; longer ages are
sent as this one."""
MAX_CHECKED_ADDRESSES: Final = 8_192
NOTE_KINDS: Final = frozenset(int(kind) for kind in NoteKind)
LIMIT_OUTCOMES: Final = (Outcome.LIMITED, Outcome.UNLIMITED)
COUNT_MASK: Final = 0xFFFF_FFFF
"""Totals are sent modulo 2**32."""

Message = (
    Heartbeat
    | Push
    | Pull
    | PagePull
    | Page
    | Report
    | Verdicts
    | Outcomes
    | TableNotice
    | UsageReport
)


class Datagram(NamedTuple):
    """A message and the membership entry of its sender."""

    sender: Member
    message: Message


class PeerKeys(NamedTuple):
    """Shared keys of the fleet; ``previous`` is accepted too during a key rotation."""

    current: bytes
    previous: bytes = b""


def encode(datagram: Datagram, keys: PeerKeys) -> bytes:
    """Encode a datagram, authenticated with the current key."""
    root = SCHEMA.Datagram.new_message()
    _fill_member(root.sender, datagram.sender)
    _fill_body(root.body, datagram.message)
    payload = root.to_bytes_packed()
    return _compute_mac(payload, keys.current) + payload


def decode(data: bytes, keys: PeerKeys) -> Result[Datagram, str]:
    """Verify and decode ``data``; the error says why it is rejected."""
    mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
    if not _is_authentic(mac, payload, keys):
        return Err("message authentication code does not match")
    try:
        root = SCHEMA.Datagram.from_bytes_packed(payload)
        return Ok(Datagram(_read_member(root.sender), _read_body(root.body)))
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        return Err(f"malformed: {error}")


def _compute_mac(payload: bytes, key: bytes) -> bytes:
    # blake2b takes keys of up to 64 bytes.
    return hashlib.blake2b(payload, digest_size=MAC_BYTES, key=key[:64]).digest()


def _is_authentic(mac: bytes, payload: bytes, keys: PeerKeys) -> bool:
    return any(
        hmac.compare_digest(mac, _compute_mac(payload, key))
        for key in (keys.current, keys.previous)
        if key
    )


def _fill_member(target: Any, member: Member) -> None:
    target.address = member.address
    target.incarnation = member.incarnation
    target.counter = member.counter
    target.zone = member.zone
    target.region = member.region
    target.isLeaving = member.is_leaving
    target.version = member.version
    target.isPlatformDown = member.is_platform_down
    target.relayPort = member.relay_port
    target.isCutOff = member.is_cut_off
    target.linkClass = member.link_class


def _read_member(source: Any) -> Member:
    _check_address(source.address)
    return Member(
        address=source.address,
        incarnation=source.incarnation,
        counter=source.counter,
        zone=source.zone,
        region=source.region,
        is_leaving=source.isLeaving,
        version=source.version,
        is_platform_down=source.isPlatformDown,
        relay_port=source.relayPort,
        is_cut_off=source.isCutOff,
        link_class=source.linkClass,
    )


@lru_cache(maxsize=MAX_CHECKED_ADDRESSES)
def _check_address(address: str) -> None:
    """Raise ``ValueError`` unless the address is IP:PORT, so that sends to it work."""
    parse_address(address)


def _fill_body(body: Any, message: Message) -> None:
    match message:
        case Heartbeat():
            _fill_heartbeat(body.init("heartbeat"), message)
        case Push(log, entries):
            push = body.init("push")
            push.log = int(log)
            push.entries = list(entries)
        case Pull(log, after):
            pull = body.init("pull")
            pull.log = int(log)
            pull.after = after
        case PagePull(log, version, start):
            page_pull = body.init("pagePull")
            page_pull.log = int(log)
            page_pull.version = version
            page_pull.start = start
        case Page():
            _fill_page(body.init("page"), message)
        case Report(counts):
            _fill_counts(body.init("report", len(counts)), counts)
        case Verdicts(verdicts):
            _fill_verdicts(body.init("verdicts", len(verdicts)), verdicts)
        case TableNotice():
            _fill_notice(body.init("tableNotice"), message)
        case Outcomes():
            _fill_outcomes(body.init("outcomeSet"), message)
        case UsageReport():
            fill_usage_report(body.init("usageReport"), message)


def _fill_outcomes(target: Any, outcomes: Outcomes) -> None:
    target.isForZone = outcomes.is_for_zone
    # Limits have a list of their own: earlier versions reject unknown outcomes.
    limits = [
        row for row in outcomes.instance_outcomes if row.outcome in LIMIT_OUTCOMES
    ]
    others = [
        row for row in outcomes.instance_outcomes if row.outcome not in LIMIT_OUTCOMES
    ]
    outcome_rows = target.init("outcomes", len(others))
    for index, row in enumerate(others):
        outcome_rows[index].key = row.key
        outcome_rows[index].outcome = int(row.outcome)
        outcome_rows[index].id = row.id
    limit_rows = target.init("limits", len(limits))
    for index, row in enumerate(limits):
        limit_rows[index].key = row.key
        limit_rows[index].perSecond = row.limit_per_second
        limit_rows[index].isEnded = row.outcome is Outcome.UNLIMITED
        limit_rows[index].id = row.id
    notes = outcomes.crash_notes
    _fill_crash_notes(target.init("crashNotes", len(notes)), notes)


def _fill_crash_notes(target: Any, notes: tuple[CrashNote, ...]) -> None:
    for index, note in enumerate(notes):
        target[index].kind = int(note.kind)
        target[index].fingerprint = note.fingerprint
        target[index].instance = note.instance
        target[index].version = note.version
        target[index].ageMs = min(int(note.age), MAX_AGE_MS)
        target[index].id = note.id


def _read_crash_notes(rows: Any) -> tuple[CrashNote, ...]:
    # Kinds of later versions are skipped.
    return tuple(
        CrashNote(
            NoteKind(row.kind),
            bytes(row.fingerprint),
            row.instance,
            row.version,
            float(row.ageMs),
            row.id,
        )
        for row in rows
        if row.kind in NOTE_KINDS
    )


def _read_outcomes(rows: Any) -> tuple[InstanceOutcome, ...]:
    return tuple(InstanceOutcome(row.key, Outcome(row.outcome), row.id) for row in rows)


def _read_limits(rows: Any) -> tuple[InstanceOutcome, ...]:
    return tuple(
        InstanceOutcome(
            row.key,
            Outcome.UNLIMITED if row.isEnded else Outcome.LIMITED,
            row.id,
            _check_limit(row.perSecond),
        )
        for row in rows
    )


def _check_limit(per_second: float) -> float:
    """Raise ``ValueError`` unless a limit is a number that an instance may name."""
    if not 0.0 <= per_second < math.inf:
        raise ValueError("a request limit must be a non-negative number")
    return per_second


def _fill_notice(target: Any, notice: TableNotice) -> None:
    # Eras have fields of their own, so that VMs of an earlier version read counters.
    target.after = notice.after.counter
    target.afterEra = notice.after.era
    target.version = notice.version.counter
    target.versionEra = notice.version.era
    target.table = notice.table
    target.failedAgoMs = min(int(notice.back_ago), MAX_AGE_MS)
    if notice.confirmed_ago is not None:
        target.confirmedAgoMs = min(int(notice.confirmed_ago), MAX_AGE_MS - 1)
    target.versionInForce = notice.version_in_force
    rows = target.init("rows", len(notice.rows))
    for index, row in enumerate(notice.rows):
        rows[index].key = row.key
        rows[index].value = row.value or b""
        rows[index].isRemoved = row.value is None


def _read_notice(source: Any) -> TableNotice:
    return TableNotice(
        after=StoreVersion(source.afterEra, source.after),
        version=StoreVersion(source.versionEra, source.version),
        back_ago=float(source.failedAgoMs),
        confirmed_ago=(
            None
            if source.confirmedAgoMs == MAX_AGE_MS
            else float(source.confirmedAgoMs)
        ),
        table=source.table,
        version_in_force=source.versionInForce,
        rows=tuple(
            TableRow(row.key, None if row.isRemoved else bytes(row.value))
            for row in source.rows
        ),
    )


def _fill_page(target: Any, page: Page) -> None:
    target.log = int(page.log)
    target.version = page.version
    target.digest = page.digest
    target.start = page.start
    target.total = page.total
    target.rows = list(page.rows)


def _fill_heartbeat(target: Any, heartbeat: Heartbeat) -> None:
    version = decode_version(heartbeat.version)
    target.version = version.counter
    target.versionEra = version.era
    target.digest = heartbeat.digest
    target.readAgeMs = min(heartbeat.freshness.read_age, MAX_AGE_MS)
    list_revision = decode_version(heartbeat.list_revision)
    target.listRevision = list_revision.counter
    target.listRevisionEra = list_revision.era
    target.versionInForce = heartbeat.version_in_force
    sample = target.init("sample", len(heartbeat.sample))
    for index, member in enumerate(heartbeat.sample):
        _fill_member(sample[index], member)


def _fill_counts(target: Any, counts: tuple[Counts, ...]) -> None:
    for index, row in enumerate(counts):
        target_row = target[index]
        target_row.key = row.key
        target_row.requests = row.requests & COUNT_MASK
        target_row.failures = row.failures & COUNT_MASK
        target_row.slow = row.slow & COUNT_MASK


def _fill_verdicts(target: Any, verdicts: tuple[Verdict, ...]) -> None:
    for index, row in enumerate(verdicts):
        target_row = target[index]
        target_row.key = row.key
        target_row.state = int(row.state)
        target_row.permille = row.permille
        target_row.badness = row.badness


def _read_body(body: Any) -> Message:
    match body.which():
        case "heartbeat":
            return _read_heartbeat(body.heartbeat)
        case "push":
            return Push(LogName(body.push.log), tuple(body.push.entries))
        case "pull":
            return Pull(LogName(body.pull.log), body.pull.after)
        case "pagePull":
            pull = body.pagePull
            return PagePull(LogName(pull.log), pull.version, pull.start)
        case "page":
            return _read_page(body.page)
        case "report":
            return Report(
                tuple(
                    Counts(row.key, row.requests, row.failures, row.slow)
                    for row in body.report
                )
            )
        case "verdicts":
            return Verdicts(
                tuple(
                    Verdict(row.key, HealthState(row.state), row.permille, row.badness)
                    for row in body.verdicts
                )
            )
        case "tableNotice":
            return _read_notice(body.tableNotice)
        case "outcomes":
            # Sent by VMs of an earlier version.
            return Outcomes(_read_outcomes(body.outcomes))
        case "outcomeSet":
            source = body.outcomeSet
            rows = _read_outcomes(source.outcomes) + _read_limits(source.limits)
            notes = _read_crash_notes(source.crashNotes)
            return Outcomes(rows, source.isForZone, notes)
        case "usageReport":
            return read_usage_report(body.usageReport)
    raise ValueError("unknown message")


def _read_page(source: Any) -> Page:
    return Page(
        log=LogName(source.log),
        version=source.version,
        digest=source.digest,
        start=source.start,
        total=source.total,
        rows=tuple(source.rows),
    )


def _read_heartbeat(source: Any) -> Heartbeat:
    return Heartbeat(
        version=StoreVersion(source.versionEra, source.version).encode(),
        digest=source.digest,
        freshness=Freshness(source.readAgeMs),
        list_revision=StoreVersion(
            source.listRevisionEra, source.listRevision
        ).encode(),
        version_in_force=source.versionInForce,
        sample=tuple(_read_member(member) for member in source.sample),
    )
