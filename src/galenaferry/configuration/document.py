"""Parsing, validation and editing of the configuration as INI text."""

import re
from collections.abc import Iterable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ..findings import Finding
from ..ini import IniDocument
from .messages import Edit
from .policy import DEFAULT_POLICY, PARSER_BY_KEY, Policy, with_values

Sections = dict[str, dict[str, str]]
"""Values by key, by section."""

DEFAULTS: Final = "defaults"
EXCEPTION_PREFIX: Final = "exception "
SERVICE: Final = "service"
ROUTE: Final = "route"
ZONE: Final = "zone"
INSTANCE: Final = "instance"
EXCEPTION_KEYS: Final = frozenset(("scope", "reason", "service"))
POLICY_KEYS: Final = frozenset(PARSER_BY_KEY)
SECTION_NAME_PATTERN: Final = re.compile(r"defaults|exception [^\s\]\[]+")
KEY_NAME_PATTERN: Final = re.compile(r"[a-z_]+")
SCOPE_SYNTAX_TEXT: Final = (
    "the scope must be 'service NAME', 'route METHOD|* /PREFIX', "
    "'zone NAME' or 'instance IP:PORT'"
)


class Scope(NamedTuple):
    """What an exception applies to.

    ``kind`` is ``service``, ``route``, ``zone`` or ``instance``. ``name`` is the path
    prefix of a route, the IP:PORT of an instance, and the name of a service or zone.
    ``method`` is only set for routes; ``*`` matches every method.
    """

    kind: str
    name: str
    method: str = "*"


class PolicyException(NamedTuple):
    """One exception to the defaults.

    ``service`` is the service that a route maps to, empty if the exception sets none.
    By default the first segment of the path names it. ``values`` are pairs of a policy
    key and its value.
    """

    section: str
    scope: Scope
    reason: str
    service: str
    values: tuple[tuple[str, object], ...]


def parse_sections(file: str, text: str) -> Result[Sections, list[Finding]]:
    """Return the sections of valid INI text, or all findings sorted by line."""
    document = IniDocument(file, text)
    check_document(document)
    if document.findings:
        return Err(sorted(document.findings, key=lambda finding: finding.line))
    sections: Sections = {}
    for section in document.sections():
        keys = document.keys(section)
        sections[section] = {key: document.text(section, key) or "" for key in keys}
    return Ok(sections)


def check_document(document: IniDocument) -> list[PolicyException]:
    """Validate a whole document and return its exceptions."""
    exceptions = []
    section_by_scope_key: dict[tuple[Scope, str], str] = {}
    for section in document.sections():
        exception = check_section(document, section)
        if exception is None:
            continue
        exceptions.append(exception)
        for key, _ in exception.values:
            other = section_by_scope_key.setdefault((exception.scope, key), section)
            if other != section:
                add_duplicate_finding(document, section, key, other)
    return exceptions


def check_section(document: IniDocument, section: str) -> PolicyException | None:
    """Validate one section and return its exception, None if it is not one."""
    for key in document.keys(section):
        if "\n" in (document.text(section, key) or ""):
            document.add_finding(section, key, "a value must be on one line")
    if section == DEFAULTS:
        document.reject_unknown_keys(section, POLICY_KEYS)
        _parse_values(document, section)
        return None
    if not SECTION_NAME_PATTERN.fullmatch(section):
        document.add_finding(section, "", "unknown section")
        return None
    return _parse_exception(document, section)


def add_duplicate_finding(
    document: IniDocument, section: str, key: str, other: str
) -> None:
    """Add a finding that section ``other`` sets the same key for the same scope."""
    text = f"the section [{other}] sets this key for the same scope"
    document.add_finding(section, key, text)


def parse_defaults(keys: dict[str, str]) -> Policy:
    """Return the policy defined by validated defaults."""
    document = IniDocument(DEFAULTS, render({DEFAULTS: keys}))
    return with_values(DEFAULT_POLICY, _parse_values(document, DEFAULTS))


def parse_exception(section: str, keys: dict[str, str]) -> PolicyException:
    """Return the exception in a validated section."""
    return _parse_exception(IniDocument(section, render({section: keys})), section)


def parse_scope(text: str) -> Scope | None:
    """Parse a scope; return None if the text is not a scope."""
    match text.split():
        case ["service" | "zone" | "instance" as kind, name]:
            return Scope(kind, name)
        case ["route", method, prefix] if prefix.startswith("/"):
            return Scope(ROUTE, prefix.rstrip("/") or "/", method.upper())
    return None


def render(sections: Sections) -> str:
    """Render sections as INI text, the defaults first."""
    names = sorted(sections, key=lambda name: (name != DEFAULTS, name))
    blocks = []
    for name in names:
        lines = [f"[{name}]"]
        lines += [f"{key} = {value}" for key, value in sections[name].items()]
        blocks.append("\n".join(lines) + "\n")
    return "\n".join(blocks)


def diff_sections(old: Sections, new: Sections) -> tuple[Edit, ...]:
    """Return the edits that turn ``old`` into ``new``."""
    edits = []
    for section in sorted(old.keys() | new.keys()):
        before, after = old.get(section, {}), new.get(section, {})
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) != after.get(key):
                edits.append(Edit(section, key, after.get(key)))
    return tuple(edits)


def apply_edits(sections: Sections, edits: Iterable[Edit]) -> Sections:
    """Return a copy of ``sections`` with ``edits`` applied."""
    result = dict(sections)
    for edit in edits:
        keys = dict(result.get(edit.section, {}))
        if edit.value is None:
            keys.pop(edit.key, None)
        else:
            keys[edit.key] = edit.value
        if keys:
            result[edit.section] = keys
        else:
            result.pop(edit.section, None)
    return result


def check_edits(edits: Iterable[Edit]) -> list[Finding]:
    """Return findings for names and values that INI text can't represent."""
    findings = []
    for edit in edits:
        text = ""
        if not SECTION_NAME_PATTERN.fullmatch(edit.section):
            text = "unknown section"
        elif not KEY_NAME_PATTERN.fullmatch(edit.key):
            text = "unknown key"
        elif edit.value is not None and edit.value != " ".join(edit.value.split()):
            text = "a value must be on one line with single spaces between words"
        elif edit.value == "":
            text = "a value is needed"
        if text:
            findings.append(Finding("proposed", edit.section, edit.key, 0, text))
    return findings


def _parse_values(document: IniDocument, section: str) -> list[tuple[str, object]]:
    values: list[tuple[str, object]] = []
    for key in document.keys(section):
        parse = PARSER_BY_KEY.get(key)
        if parse is not None:
            default = getattr(DEFAULT_POLICY, key)
            values.append((key, document.read(section, key, default, parse)))
    return values


def _parse_exception(document: IniDocument, section: str) -> PolicyException:
    document.reject_unknown_keys(section, POLICY_KEYS | EXCEPTION_KEYS)
    reason = document.text(section, "reason") or ""
    if not reason.strip():
        document.add_finding(section, "reason", "an exception needs a written reason")
    scope = parse_scope(document.text(section, "scope") or "")
    if scope is None:
        document.add_finding(section, "scope", SCOPE_SYNTAX_TEXT)
        scope = Scope(SERVICE, "")
    service = document.text(section, "service") or ""
    if service and scope.kind != ROUTE:
        document.add_finding(
            section, "service", "only an exception for a route may set a service"
        )
    values = tuple(_parse_values(document, section))
    if not values and not service:
        document.add_finding(section, "", "the exception changes nothing")
    return PolicyException(section, scope, reason, service, values)
