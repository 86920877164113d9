"""INI documents with line numbers, based on ``iniconfig``, and parsers of values."""

from collections.abc import Callable, Iterator
from typing import Final, TypeVar

from iniconfig import IniConfig, ParseError

from .findings import Finding
from .numbers import parse_whole_number

T = TypeVar("T")
MAX_PORT: Final = 65_535


class IniDocument:
    """One INI file and the findings collected while reading it.

    A text with a syntax error counts as an empty document with one finding.

    Parameters
    ----------
    file : str
        File name for findings.
    text : str
        Contents of the file.
    """

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self.findings: list[Finding] = []
        try:
            self._ini = _parse(file, text)
        except ParseError as error:
            self._ini = _parse(file, "")
            line = error.lineno + 1
            self.findings.append(Finding(file, "", "", line, error.msg))

    def sections(self) -> Iterator[str]:
        """Yield the names of the sections in file order."""
        yield from self._ini.sections

    def keys(self, section: str) -> Iterator[str]:
        """Yield the keys of ``section``."""
        yield from self._ini.sections.get(section, {})

    def text(self, section: str, key: str) -> str | None:
        """Return the text of a key's value, or None if the key is missing."""
        return self._ini.sections.get(section, {}).get(key)

    def line(self, section: str, key: str | None = None) -> int:
        """Return the line number of a key or section, 0 if it is missing."""
        return self._ini.lineof(section, key) or 0

    def add_finding(self, section: str, key: str, text: str) -> None:
        """Add a finding at the line of ``key``, or of its section if it is missing."""
        line = self.line(section, key) or self.line(section)
        self.findings.append(Finding(self.file, section, key, line, text))

    def read(self, section: str, key: str, default: T, parse: Callable[[str], T]) -> T:
        """Return the parsed value of a key, or ``default`` if the key is missing.

        If ``parse`` raises a ValueError, a finding is added and ``default`` returned.
        """
        text = self.text(section, key)
        if text is None:
            return default
        try:
            return parse(text)
        except ValueError as error:
            self.add_finding(section, key, str(error))
            return default

    def reject_unknown_keys(self, section: str, known: frozenset[str]) -> None:
        """Add a finding for every key of ``section`` that is not in ``known``."""
        for key in self.keys(section):
            if key not in known:
                self.add_finding(section, key, "unknown key")


def int_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers from ``low`` to ``high``, both included.

    The parser raises a ValueError for other texts.
    """

    def parse(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise ValueError(f"{text!r} is not a whole number") from None
        if not low <= value <= high:
            raise ValueError(f"{value} is outside {low} to {high}")
        return value

    return parse


def parse_bool(text: str) -> bool:
    """Parse ``yes``, ``true``, ``on``, ``no``, ``false`` or ``off`` in any case.

    Raises
    ------
    ValueError
        When the text is none of these.
    """
    match text.strip().lower():
        case "yes" | "true" | "on":
            return True
        case "no" | "false" | "off":
            return False
    raise ValueError(f"{text!r} is neither yes nor no")


def choice_parser(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts only the texts in ``choices``.

    The parser raises a ValueError for other texts.
    """

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"{text!r} is none of {', '.join(choices)}")
        return text

    return parse


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``IP:PORT`` with a numeric IP address, IPv6 in brackets or without.

    Raises
    ------
    ValueError
        When the text has another form, such as one with a host name.
    """
    import ipaddress

    host, colon, port = text.rpartition(":")
    if not colon or parse_whole_number(port, MAX_PORT).is_err():
        raise ValueError(f"{text!r} is not IP:PORT")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    return host.strip("[]"), int(port)


def _parse(file: str, text: str) -> IniConfig:
    """Parse INI text; only whole lines are comments, so values may contain ``#``."""
    return IniConfig.parse(file, data=text, strip_inline_comments=False)
