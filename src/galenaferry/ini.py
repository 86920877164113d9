"""INI text with the line of every key, read by ``iniconfig``."""

from collections.abc import Callable, Iterator
from typing import TypeVar

from iniconfig import IniConfig, ParseError

from .findings import Finding

T = TypeVar("T")


class IniDocument:
    """One INI file and the findings collected while it is read.

    Parameters
    ----------
    file : str
        Name shown in findings.
    text : str
        The text of the file.
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
        """Yield the names of the sections in the order of the file."""
        yield from self._ini.sections

    def keys(self, section: str) -> Iterator[str]:
        """Yield the keys of ``section``."""
        yield from self._ini.sections.get(section, {})

    def text(self, section: str, key: str) -> str | None:
        """Return the text of a key, or None where it does not stand."""
        return self._ini.sections.get(section, {}).get(key)

    def line(self, section: str, key: str | None = None) -> int:
        """Return the line of a key or section, 0 where it does not stand."""
        return self._ini.lineof(section, key) or 0

    def add_finding(self, section: str, key: str, text: str) -> None:
        """Collect a finding at the place of ``key``."""
        line = self.line(section, key) or self.line(section)
        self.findings.append(Finding(self.file, section, key, line, text))

    def read(self, section: str, key: str, default: T, parse: Callable[[str], T]) -> T:
        """Return the parsed value of a key, or ``default`` with a finding."""
        text = self.text(section, key)
        if text is None:
            return default
        try:
            return parse(text)
        except ValueError as error:
            self.add_finding(section, key, str(error))
            return default

    def reject_unknown_keys(self, section: str, known: frozenset[str]) -> None:
        """Collect a finding for every key of ``section`` not in ``known``."""
        for key in self.keys(section):
            if key not in known:
                self.add_finding(section, key, "unknown key")


def int_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of whole numbers from ``low`` to ``high``."""

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
    """Parse ``yes`` or ``no``."""
    match text.strip().lower():
        case "yes" | "true" | "on":
            return True
        case "no" | "false" | "off":
            return False
    raise ValueError(f"{text!r} is neither yes nor no")


def choice_parser(*choices: str) -> Callable[[str], str]:
    """Return a parser of one of ``choices``."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"{text!r} is none of {', '.join(choices)}")
        return text

    return parse


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``IP:PORT``, the IP as a number."""
    import ipaddress

    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not IP:PORT")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{host!r} is not an IP number") from None
    return host.strip("[]"), int(port)


def _parse(file: str, text: str) -> IniConfig:
    """Parse INI text; only whole lines are comments, values keep their ``#``."""
    return IniConfig.parse(file, data=text, strip_inline_comments=False)
