"""The configuration in force on a VM, its version and its history."""

import json
from collections import OrderedDict
from typing import Final

from ..json_data import FIELD_ERRORS, parse_json
from ..spreading.messages import ApplyResult
from .compact import Configuration
from .document import Sections, apply_edits
from .messages import (
    EMPTY_HEAD,
    Change,
    Edit,
    Head,
    Proposal,
    chain_digest,
    decode_change,
    encode_change,
)

HISTORY_LENGTH: Final = 1024
"""Number of changes kept, for earlier versions and for VMs that lag behind."""


class ConfigurationState:
    """The configuration in force on this VM; its version never decreases.

    It implements ``spreading.messages.ReplicatedLog``, through which other VMs get it.
    """

    def __init__(self) -> None:
        self.head = EMPTY_HEAD
        self.configuration = Configuration()
        self.change_by_version: OrderedDict[int, Change] = OrderedDict()
        self._undo_by_version: dict[int, tuple[Edit, ...]] = {}
        # Cache of ``rows_from``: a version and its section names, sorted.
        self._names_at_version: tuple[int, list[str]] = (-1, [])

    @property
    def version(self) -> int:
        """The version in force."""
        return self.head.version

    @property
    def digest(self) -> str:
        """Digest of the version in force and all earlier ones."""
        return self.head.digest

    def apply_encoded(self, entry: str) -> ApplyResult:
        """Apply an encoded change."""
        return self.adopt(decode_change(entry))

    def encoded_after(self, version: int, limit: int) -> list[str] | None:
        """Return encoded changes after a version, None if the history is too short."""
        changes = self.changes_after(version, limit)
        return None if changes is None else [encode_change(c) for c in changes]

    def row_count(self) -> int:
        """Return the number of sections."""
        return len(self.configuration)

    def rows_from(self, start: int, limit: int) -> list[str]:
        """Return encoded sections, sorted by name."""
        if self._names_at_version[0] != self.version:
            self._names_at_version = (self.version, self.configuration.names())
        names = self._names_at_version[1][start : start + limit]
        section = self.configuration.section
        return [json.dumps([name, section(name)]) for name in names]

    def load_rows(self, version: int, digest: str, rows: list[str]) -> bool:
        """Replace the configuration with encoded sections of a newer version.

        Return False, and change nothing, if the version is not newer.

        Raises
        ------
        ValueError
            When a row is not an encoded section.
        """
        if version <= self.version:
            return False
        try:
            configuration = Configuration(dict(parse_json(row) for row in rows))
        except FIELD_ERRORS as error:
            raise ValueError(f"invalid section: {error!r}") from None
        return self.load_snapshot(Head(version, digest), configuration)

    def adopt(self, change: Change) -> ApplyResult:
        """Apply ``change`` if it directly follows the version in force."""
        if change.version <= self.head.version:
            return self._check_against_history(change)
        if change.version > self.head.version + 1:
            return ApplyResult.GAP
        digest = chain_digest(self.head.digest, change.version, change.id, change.edits)
        if digest != change.digest:
            return ApplyResult.FORK
        undo = self.configuration.apply(change.edits)
        self._undo_by_version[change.version] = undo
        self.head = Head(change.version, change.digest)
        self._add_to_history(change)
        return ApplyResult.APPLIED

    def load_snapshot(self, head: Head, configuration: Configuration) -> bool:
        """Replace the configuration with a newer snapshot and clear the history.

        Return False, and change nothing, if the snapshot is not newer.
        """
        if head.version <= self.head.version:
            return False
        self.head = head
        self.configuration = configuration
        self.change_by_version.clear()
        self._undo_by_version.clear()
        return True

    def sections_at(self, version: int) -> Sections | None:
        """Return the sections of an earlier version, None if it is not available."""
        sections = self.configuration.sections()
        for number in range(self.head.version, version, -1):
            undo = self._undo_by_version.get(number)
            if undo is None:
                return None
            sections = apply_edits(sections, undo)
        return sections if 0 <= version <= self.head.version else None

    def changes_after(self, version: int, limit: int) -> list[Change] | None:
        """Return up to ``limit`` changes after ``version``.

        None means that the history does not reach back that far.
        """
        if version >= self.head.version:
            return []
        if version + 1 not in self.change_by_version:
            return None
        last = min(self.head.version, version + limit)
        return [self.change_by_version[n] for n in range(version + 1, last + 1)]

    def clashing_changes(self, proposal: Proposal) -> list[Change] | None:
        """Return later changes that set a key of ``proposal`` to another value.

        None means that the history does not reach back to the base version.
        """
        later = self.changes_after(proposal.base, HISTORY_LENGTH)
        if later is None:
            return None
        edit_by_key = {(edit.section, edit.key): edit for edit in proposal.edits}
        return [
            change
            for change in later
            if any(_has_other_value(edit_by_key, edit) for edit in change.edits)
        ]

    def _check_against_history(self, change: Change) -> ApplyResult:
        known = self.change_by_version.get(change.version)
        if known is not None and known.digest != change.digest:
            return ApplyResult.FORK
        return ApplyResult.DUPLICATE

    def _add_to_history(self, change: Change) -> None:
        self.change_by_version[change.version] = change
        while len(self.change_by_version) > HISTORY_LENGTH:
            version, _ = self.change_by_version.popitem(last=False)
            del self._undo_by_version[version]


def _has_other_value(edit_by_key: dict[tuple[str, str], Edit], edit: Edit) -> bool:
    proposed = edit_by_key.get((edit.section, edit.key))
    return proposed is not None and proposed.value != edit.value
