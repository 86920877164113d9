"""The configuration's INI text, its checks and its typed form."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ..findings import Finding
from ..ini import Document
from .messages import Change, Edit
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


class Configuration:
    """The typed form of the configuration in force.

    Exceptions are replaced one by one, since there may be hundreds of thousands
    of them and a change touches a few.
    """

    def __init__(self) -> None:
        self.defaults: Policy = DEFAULT_POLICY
        self.exceptions_by_name: dict[str, PolicyException] = {}
        self._names_by_scope: dict[Scope, frozenset[str]] = {}

    def put(self, exception: PolicyException) -> None:
        """Add an exception or replace the one of the same name."""
        self.remove(exception.name)
        self.exceptions_by_name[exception.name] = exception
        names = self._names_by_scope.get(exception.scope, frozenset())
        self._names_by_scope[exception.scope] = names | {exception.name}

    def remove(self, name: str) -> None:
        """Remove an exception if there is one of that name."""
        exception = self.exceptions_by_name.pop(name, None)
        if exception is None:
            return
        names = self._names_by_scope[exception.scope] - {name}
        if names:
            self._names_by_scope[exception.scope] = names
        else:
            del self._names_by_scope[exception.scope]

    def rival(self, exception: PolicyException, key: str) -> str | None:
        """Return another exception that gives ``key`` for the same scope."""
        for name in sorted(self._names_by_scope.get(exception.scope, ())):
            if name != exception.name:
                other = self.exceptions_by_name[name]
                if any(key == given for given, _ in other.values):
                    return name
        return None


def sections_of(file: str, text: str) -> Result[Sections, list[Finding]]:
    """Return the sections of INI text that passes every check."""
    document = Document(file, text)
    configure(document)
    if document.findings:
        return Err(sorted(document.findings, key=lambda finding: finding.line))
    return Ok(
        {
            section: {key: document.text(section, key) or "" for key in _keys}
            for section in document.sections()
            for _keys in [list(document.keys(section))]
        }
    )


def configure(document: Document) -> Configuration:
    """Return the typed form of ``document``; problems become its findings."""
    configuration = Configuration()
    for section in document.sections():
        _read_section(document, section, configuration)
    return configuration


def reconfigure(
    configuration: Configuration, sections: Sections, touched: Iterable[str]
) -> None:
    """Bring ``configuration`` up to ``sections``, of which some were touched."""
    names = frozenset(touched)
    for name in names - sections.keys():
        if name == DEFAULTS:
            configuration.defaults = DEFAULT_POLICY
        configuration.remove(_exception_name(name))
    present = {name: sections[name] for name in names if name in sections}
    document = Document("configuration", render(present))
    for section in document.sections():
        _read_section(document, section, configuration)


def check_edits(
    configuration: Configuration, sections: Sections, edits: tuple[Edit, ...]
) -> list[Finding]:
    """Return the findings of the sections that ``edits`` touch.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force, for clashes of scopes.
    sections : Sections
        The sections with the edits applied.
    edits : tuple of Edit
    """
    touched = {edit.section for edit in edits}
    present = {name: sections[name] for name in touched if name in sections}
    document = Document("proposed", render(present))
    trial = Configuration()
    for section in document.sections():
        _read_section(document, section, trial)
    for name, exception in trial.exceptions_by_name.items():
        _check_scope(document, EXCEPTION_PREFIX + name, exception, configuration)
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


def touched_names(changes: Iterable[Change]) -> frozenset[str]:
    """Return the names of the exceptions that ``changes`` touch."""
    return frozenset(
        _exception_name(edit.section) for change in changes for edit in change.edits
    )


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


def _exception_name(section: str) -> str:
    return section.removeprefix(EXCEPTION_PREFIX).strip()


def _read_section(
    document: Document, section: str, configuration: Configuration
) -> None:
    """Read one section into ``configuration``."""
    if section == DEFAULTS:
        document.refuse_unknown(section, POLICY_KEYS)
        values = _values(document, section)
        configuration.defaults = with_values(DEFAULT_POLICY, values)
    elif section.startswith(EXCEPTION_PREFIX):
        exception = _read_exception(document, section, _exception_name(section))
        _check_scope(document, section, exception, configuration)
        configuration.put(exception)
    else:
        document.find(section, "", "unknown section")


def _check_scope(
    document: Document,
    section: str,
    exception: PolicyException,
    configuration: Configuration,
) -> None:
    """Refuse two exceptions that give the same key for the same scope."""
    for key, _ in exception.values:
        other = configuration.rival(exception, key)
        if other is not None:
            text = f"the exception {other} gives this key for the same scope"
            document.find(section, key, text)
