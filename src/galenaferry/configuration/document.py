"""The configuration's INI text, its checks and its typed form."""

from typing import Final, NamedTuple

from result import Err, Ok, Result

from ..findings import Finding
from ..ini import Document
from .messages import Edit
from .policy import DEFAULT_POLICY, PARSER_BY_KEY, Policy, with_values

Sections = dict[str, dict[str, str]]
"""Texts by key, by section."""

DEFAULTS: Final = "defaults"
EXCEPTION_PREFIX: Final = "exception "
SERVICE: Final = "service"
ROUTE: Final = "route"
ZONE: Final = "zone"
INSTANCE: Final = "instance"
EXCEPTION_KEYS: Final = frozenset(("scope", "reason", "service"))
POLICY_KEYS: Final = frozenset(PARSER_BY_KEY)
SCOPE_HELP: Final = (
    "the scope must be 'service NAME', 'route METHOD|* /PREFIX', "
    "'zone NAME' or 'instance IP:PORT'"
)


class Scope(NamedTuple):
    """What an exception applies to.

    ``method`` stands only beside a route; ``*`` means every method.
    """

    kind: str
    name: str
    method: str = "*"


class PolicyException(NamedTuple):
    """One exception to the defaults.

    ``service`` is set where a route leads to a service that its path does not
    name.
    """

    name: str
    scope: Scope
    reason: str
    service: str
    values: tuple[tuple[str, object], ...]


class Configuration(NamedTuple):
    """The typed form of one version."""

    version: int
    defaults: Policy
    exceptions_by_name: dict[str, PolicyException]


EMPTY_CONFIGURATION: Final = Configuration(0, DEFAULT_POLICY, {})


def sections_of(file: str, text: str) -> Result[Sections, list[Finding]]:
    """Return the sections of INI text that passes every check."""
    document = Document(file, text)
    configure(document, 0)
    if document.findings:
        return Err(document.findings)
    return Ok(
        {
            section: {key: document.text(section, key) or "" for key in _keys}
            for section in document.sections()
            for _keys in [list(document.keys(section))]
        }
    )


def configure(document: Document, version: int) -> Configuration:
    """Return the typed form of ``document``; problems become its findings."""
    defaults = DEFAULT_POLICY
    exceptions_by_name: dict[str, PolicyException] = {}
    for section in document.sections():
        if section == DEFAULTS:
            document.refuse_unknown(section, POLICY_KEYS)
            defaults = with_values(defaults, _values(document, section))
        elif section.startswith(EXCEPTION_PREFIX):
            name = section.removeprefix(EXCEPTION_PREFIX).strip()
            exceptions_by_name[name] = _read_exception(document, section, name)
        else:
            document.find(section, "", "unknown section")
    _check_scopes(document, exceptions_by_name)
    return Configuration(version, defaults, exceptions_by_name)


def configure_sections(sections: Sections, version: int) -> Configuration:
    """Return the typed form of sections that have been checked before."""
    return configure(Document(f"version {version}", render(sections)), version)


def check_sections(sections: Sections) -> list[Finding]:
    """Return the findings of ``sections``, with the lines of their rendering."""
    document = Document("proposed", render(sections))
    configure(document, 0)
    return document.findings


def render(sections: Sections) -> str:
    """Return sections as INI text, the defaults first."""
    names = sorted(sections, key=lambda name: (name != DEFAULTS, name))
    blocks = []
    for name in names:
        lines = [f"[{name}]"]
        lines += [f"{key} = {value}" for key, value in sections[name].items()]
        blocks.append("\n".join(lines) + "\n")
    return "\n".join(blocks)


def difference(old: Sections, new: Sections) -> tuple[Edit, ...]:
    """Return the edits that turn ``old`` into ``new``."""
    edits = []
    for section in sorted(old.keys() | new.keys()):
        before, after = old.get(section, {}), new.get(section, {})
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) != after.get(key):
                edits.append(Edit(section, key, after.get(key)))
    return tuple(edits)


def edited(sections: Sections, edits: tuple[Edit, ...]) -> Sections:
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


def _values(document: Document, section: str) -> list[tuple[str, object]]:
    values: list[tuple[str, object]] = []
    for key in document.keys(section):
        parse = PARSER_BY_KEY.get(key)
        if parse is not None:
            default = getattr(DEFAULT_POLICY, key)
            values.append((key, document.read(section, key, default, parse)))
    return values


def _read_exception(document: Document, section: str, name: str) -> PolicyException:
    document.refuse_unknown(section, POLICY_KEYS | EXCEPTION_KEYS)
    if not name:
        document.find(section, "", "an exception needs a name")
    reason = document.text(section, "reason") or ""
    if not reason.strip():
        document.find(section, "reason", "an exception needs a written reason")
    text = document.text(section, "scope")
    scope = _parse_scope(text or "")
    if scope is None:
        document.find(section, "scope", SCOPE_HELP)
        scope = Scope(SERVICE, "")
    service = document.text(section, "service") or ""
    if service and scope.kind != ROUTE:
        document.find(section, "service", "only a route leads to a service")
    values = tuple(_values(document, section))
    if not values and not service:
        document.find(section, "", "the exception changes nothing")
    return PolicyException(name, scope, reason, service, values)


def _parse_scope(text: str) -> Scope | None:
    match text.split():
        case ["service" | "zone" | "instance" as kind, name]:
            return Scope(kind, name)
        case ["route", method, prefix] if prefix.startswith("/"):
            return Scope(ROUTE, prefix.rstrip("/") or "/", method.upper())
    return None


def _check_scopes(
    document: Document, exceptions_by_name: dict[str, PolicyException]
) -> None:
    """Refuse two exceptions that give the same key for the same scope."""
    name_by_place: dict[tuple[Scope, str], str] = {}
    for exception in exceptions_by_name.values():
        section = EXCEPTION_PREFIX + exception.name
        for key, _ in exception.values:
            place = (exception.scope, key)
            other = name_by_place.setdefault(place, exception.name)
            if other != exception.name:
                text = f"the exception {other} gives this key for the same scope"
                document.find(section, key, text)
