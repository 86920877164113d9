"""The configuration in force, stored as compact text.

Hundreds of thousands of exceptions must fit into the memory of a small VM. Each
section is stored as one byte string, indexed by its scope, and parsed only when a
request needs it; the route table caches the parsed policies in use.
"""

import hashlib
from typing import Final

import xxhash

from ..findings import Finding
from ..ini import IniDocument
from .document import (
    DEFAULTS,
    PolicyException,
    Scope,
    Sections,
    add_duplicate_finding,
    apply_edits,
    check_edits,
    check_section,
    parse_defaults,
    parse_exception,
    parse_scope,
    render,
)
from .messages import Edit
from .policy import DEFAULT_POLICY, Policy

SEPARATOR: Final = "\n"
"""Separates keys and values in a stored section; validation keeps it out of both."""

SectionNames = str | tuple[str, ...]
"""Name of one section, or names of several whose scopes have the same hash."""


class Configuration:
    """Sections of the configuration, with an index of the exceptions by scope."""

    def __init__(self, sections: Sections | None = None) -> None:
        self._text_by_section: dict[str, bytes] = {}
        self._names_by_scope_hash: dict[int, SectionNames] = {}
        self.defaults: Policy = DEFAULT_POLICY
        self.extend(sections or {})

    def __len__(self) -> int:
        return len(self._text_by_section)

    def names(self) -> list[str]:
        """Return the names of all sections, sorted."""
        return sorted(self._text_by_section)

    def extend(self, sections: Sections) -> None:
        """Add validated sections that are not present yet."""
        for section, keys in sections.items():
            self._add_section(section, keys)

    def sections(self) -> Sections:
        """Return all sections as a new dictionary."""
        return {name: self.section(name) for name in self._text_by_section}

    def section(self, name: str) -> dict[str, str]:
        """Return the values of a section by key, empty if it does not exist."""
        text = self._text_by_section.get(name)
        if text is None:
            return {}
        parts = text.decode().split(SEPARATOR)
        return dict(zip(parts[::2], parts[1::2]))

    def exceptions_for(self, kind: str, name: str) -> list[PolicyException]:
        """Return the exceptions for one service, route prefix, zone or instance.

        They are sorted by section name, so that the order is the same on every VM.
        """
        names = self._names_for(f"{kind} {name}")
        if not names:
            return []
        # The index also returns sections of other scopes that have the same hash.
        exceptions = [parse_exception(n, self.section(n)) for n in sorted(names)]
        return [e for e in exceptions if e.scope[:2] == (kind, name)]

    def has_exceptions_for(self, kind: str, name: str) -> bool:
        """Whether a service, route prefix, zone or instance has any exception."""
        return bool(self.exceptions_for(kind, name))

    def apply(self, edits: tuple[Edit, ...]) -> tuple[Edit, ...]:
        """Apply edits and return the edits that revert them."""
        touched = {edit.section for edit in edits}
        before = {name: self.section(name) for name in touched}
        after = apply_edits(before, edits)
        for name in touched:
            self._remove_section(name)
            if after.get(name):
                self._add_section(name, after[name])
        return tuple(
            Edit(edit.section, edit.key, before[edit.section].get(edit.key))
            for edit in edits
        )

    def check(self, edits: tuple[Edit, ...]) -> list[Finding]:
        """Return the findings of the sections that ``edits`` would change."""
        findings = check_edits(edits)
        if findings:
            return findings
        touched = {edit.section for edit in edits}
        before = {name: self.section(name) for name in touched}
        after = {
            name: keys for name, keys in apply_edits(before, edits).items() if keys
        }
        document = IniDocument("proposed", render(after))
        section_by_scope_key: dict[tuple[Scope, str], str] = {}
        for section in document.sections():
            exception = check_section(document, section)
            if exception is not None:
                self._check_duplicates(
                    document, exception, touched, section_by_scope_key
                )
        return document.findings

    def _check_duplicates(
        self,
        document: IniDocument,
        exception: PolicyException,
        touched: set[str],
        section_by_scope_key: dict[tuple[Scope, str], str],
    ) -> None:
        """Add findings where another exception sets the same key for the scope."""
        scope = exception.scope
        others = [
            other
            for other in self.exceptions_for(scope.kind, scope.name)
            if other.section not in touched and other.scope == scope
        ]
        for key, _ in exception.values:
            duplicates = [o.section for o in others if key in dict(o.values)]
            first = section_by_scope_key.setdefault((scope, key), exception.section)
            if first != exception.section:
                duplicates.append(first)
            if duplicates:
                add_duplicate_finding(document, exception.section, key, duplicates[0])

    def _names_for(self, index_key: str) -> tuple[str, ...]:
        """Return the names of the sections whose index key has the same hash."""
        names = self._names_by_scope_hash.get(_hash(index_key), ())
        return (names,) if isinstance(names, str) else names

    def _add_section(self, name: str, keys: dict[str, str]) -> None:
        parts = [part for item in keys.items() for part in item]
        self._text_by_section[name] = SEPARATOR.join(parts).encode()
        if name == DEFAULTS:
            self.defaults = parse_defaults(keys)
            return
        index_key = _index_key(keys)
        names = self._names_for(index_key)
        self._names_by_scope_hash[_hash(index_key)] = (*names, name) if names else name

    def _remove_section(self, name: str) -> None:
        keys = self.section(name)
        if self._text_by_section.pop(name, None) is None:
            return
        if name == DEFAULTS:
            self.defaults = DEFAULT_POLICY
            return
        index_key = _index_key(keys)
        remaining = tuple(
            other for other in self._names_for(index_key) if other != name
        )
        if not remaining:
            del self._names_by_scope_hash[_hash(index_key)]
        else:
            self._names_by_scope_hash[_hash(index_key)] = (
                remaining[0] if len(remaining) == 1 else remaining
            )


def content_digest(sections: Sections) -> str:
    """Return a digest of sections that is independent of their order."""
    digest = hashlib.blake2b(digest_size=16)
    for name in sorted(sections):
        digest.update(repr((name, sorted(sections[name].items()))).encode())
    return digest.hexdigest()


def _hash(index_key: str) -> int:
    """Return a hash, which takes less memory as a dictionary key than the text."""
    return xxhash.xxh64_intdigest(index_key.encode())


def _index_key(keys: dict[str, str]) -> str:
    """Return the scope of a section without its method, empty for no valid scope."""
    scope = parse_scope(keys.get("scope", ""))
    return f"{scope.kind} {scope.name}" if scope is not None else ""
