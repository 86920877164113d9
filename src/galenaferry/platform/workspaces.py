"""Workspaces in the row of the configuration, which calls them tenants.

The operator writes keys; VMs keep and exchange only the digests of them.
"""

import json
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeVar

from ..discovery.messages import TableRow
from ..json_data import FIELD_ERRORS, check_text, parse_json
from ..workspaces.directory import DIGEST_BYTES, WorkspaceDirectory, make_digest
from ..workspaces.messages import Workspace
from .fields import Findings, describe_error, get_integer, get_number, get_string

TENANTS: Final = "tenants"
KEYS: Final = "apiKeys"
DIGESTS: Final = "apiKeyDigests"
DIGEST_CHECK: Final = "apiKeyDigestCheck"
"""Field with the digest of the empty key, which differs with the key of the fleet."""
UNREADABLE: Final = "unreadable"
"""Field with the error, of a value that is not the JSON of an object."""
MAX_NAME_LENGTH: Final = 200

T = TypeVar("T")


def digest_configuration(value: bytes, fleet_key: bytes) -> bytes:
    """Return the row of the configuration with digests in place of keys.

    A row without tenants stays as it is, and so does the result of an earlier call.
    What can't be read, and may contain a key, is replaced by null, or by the error as
    a whole.
    """
    try:
        data = parse_json(value)
        if not isinstance(data, dict):
            raise ValueError("the configuration is not an object")
        tenants = data.get(TENANTS)
        if tenants is None:
            return value
        digest = make_digest(fleet_key)
        is_list = isinstance(tenants, list)
        rows = [_digest_row(row, digest) for row in tenants] if is_list else False
        check = data.get(DIGEST_CHECK, digest(b"").hex())
        digested = {**data, TENANTS: rows, DIGEST_CHECK: check}
        return json.dumps(digested, separators=(",", ":")).encode()
    except FIELD_ERRORS as error:
        return json.dumps({UNREADABLE: describe_error(error)}).encode()


def digest_row(row: TableRow, configuration_key: str, fleet_key: bytes) -> TableRow:
    """Return a row of the configuration's table without keys of workspaces."""
    if row.key != configuration_key or row.value is None:
        return row
    return TableRow(row.key, digest_configuration(row.value, fleet_key))


def raise_if_unreadable(data: Any) -> None:
    """Raise the error that a digested row has in place of its content."""
    if isinstance(data, dict) and UNREADABLE in data:
        raise ValueError(data[UNREADABLE])


def parse_workspaces(
    data: dict[str, Any], findings: Findings, fleet_key: bytes
) -> WorkspaceDirectory | None:
    """Return the workspaces of a digested row, None if it has no tenants."""
    rows = data.get(TENANTS)
    if rows is None:
        return None
    digest = make_digest(fleet_key)
    parser = _Parser(findings)
    if not isinstance(rows, list):
        parser.reject(TENANTS, "not a list")
    elif data.get(DIGEST_CHECK) != digest(b"").hex():
        parser.reject(TENANTS, "the keys were digested with another key of the fleet")
    else:
        for number, row in enumerate(rows, start=1):
            parser.add_row(f"tenant {number}", row)
    has_all_public = all(
        isinstance(row.get("public", False), bool)
        for row in data["routes"]
        if isinstance(row, dict)
    )
    return WorkspaceDirectory(
        by_digest={
            one: owner.workspace
            for one, owner in parser.owner_by_digest.items()
            if one not in parser.ambiguous_digests
        },
        by_name=parser.by_name,
        ambiguous_digests=frozenset(parser.ambiguous_digests),
        is_complete=parser.is_complete and has_all_public,
        digest=digest,
    )


class _Owner(NamedTuple):
    """A workspace and its place in the configuration."""

    part: str
    workspace: Workspace


class _Parser:
    """Takes the rows of tenants one after another; findings never quote a key."""

    def __init__(self, findings: Findings) -> None:
        self._findings = findings
        self.by_name: dict[str, Workspace] = {}
        self.owner_by_digest: dict[bytes, _Owner] = {}
        self.ambiguous_digests: set[bytes] = set()
        self.is_complete = True

    def reject(self, part: str, error: str) -> None:
        """Add a finding about a part that may contain keys."""
        self._findings.add(part, error)
        self.is_complete = False

    def add_row(self, part: str, row: Any) -> None:
        """Add the workspace in a row, and the keys that can be read."""
        if not isinstance(row, dict):
            self.reject(part, "not an object")
            return
        workspace = self._findings.parse(part, row, self._parse_workspace(part))
        if workspace is None:
            self.is_complete = False
            return
        if workspace.name in self.by_name:
            self.reject(part, "an earlier tenant has the same name")
            return
        self.by_name[workspace.name] = workspace
        texts = row.get(DIGESTS)
        if not isinstance(texts, list):
            self.reject(part, f"{KEYS} is not a list")
            return
        for number, text in enumerate(texts, start=1):
            try:
                digest = bytes.fromhex(text)
                if len(digest) != DIGEST_BYTES:
                    raise ValueError
            except (TypeError, ValueError):
                self.reject(part, f"key {number} of {KEYS} is not a text")
                continue
            self._add_digest(digest, _Owner(part, workspace))

    def _add_digest(self, digest: bytes, owner: _Owner) -> None:
        first = self.owner_by_digest.setdefault(digest, owner)
        if first.workspace.name != owner.workspace.name:
            self.ambiguous_digests.add(digest)
            self._findings.add(owner.part, f"{first.part} has one of its keys too")

    def _parse_workspace(self, part: str) -> Callable[[Any], Workspace]:
        def parse(row: Any) -> Workspace:
            name = _check_name(get_string(row, "name"))
            rate = self._parse_field(part, row, "ratePerS", get_number, 0.0)
            burst = self._parse_field(part, row, "burst", get_number, 0.0)
            has_limit = rate is not None and burst is not None
            return Workspace(
                name,
                self._parse_field(part, row, "priority", get_integer, None),
                rate if rate is not None and has_limit else 0.0,
                burst if burst is not None and has_limit else 0.0,
            )

        return parse

    def _parse_field(
        self,
        part: str,
        row: dict[str, Any],
        field: str,
        get: Callable[[dict[str, Any], str], T],
        absent: T | None,
    ) -> T | None:
        """Return an optional field, None with a finding if it can't be read."""
        if field not in row:
            return absent
        parse = self._findings.parse
        return parse(f"{field} of {part}", row, lambda fields: get(fields, field))


def _digest_row(row: Any, digest: Callable[[bytes], bytes]) -> Any:
    """Return the row of a tenant without keys, null if it is none."""
    if not isinstance(row, dict):
        return None
    # A field whose name is misspelled may hold keys as well.
    kept = {
        name: value
        for name, value in row.items()
        if "key" not in name.lower() or name == DIGESTS
    }
    if KEYS not in row:
        return kept
    keys, before = row[KEYS], row.get(DIGESTS, [])
    if not isinstance(keys, list) or not isinstance(before, list):
        return kept | {DIGESTS: None}
    return kept | {DIGESTS: before + [_digest_key(key, digest) for key in keys]}


def _digest_key(key: Any, digest: Callable[[bytes], bytes]) -> str | None:
    try:
        encoded = check_text(key, "the key").encode()
    except ValueError:
        return None
    return digest(encoded).hex() if encoded else None


def _check_name(name: str) -> str:
    """Return a name that can be the value of a header."""
    if not name.isprintable() or name != name.strip() or len(name) > MAX_NAME_LENGTH:
        raise ValueError("name can't be sent in a header")
    return name
