"""Snapshots of the configuration in the object store, split into pages.

A VM that starts reads the newest snapshot and then the changes after it. Pages
bound the memory and the time that one step takes. The names of a snapshot's pages
contain its version, and the pages are written before the index, which atomically
replaces the index of the previous snapshot.
"""

import json
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err, Result

from ..json_data import FIELD_ERRORS, parse_json
from ..store.client import PlatformClient
from ..store.messages import PlatformError
from .compact import Configuration, content_digest
from .document import Sections
from .messages import Head

INDEX_NAME: Final = "configuration/snapshot"
SECTIONS_PER_PAGE: Final = 2000


class LoadedSnapshot(NamedTuple):
    """A complete snapshot and its version."""

    head: Head
    configuration: Configuration


def page_name(version: int, number: int) -> str:
    """Return the object name of one page of the snapshot of a version."""
    return f"{INDEX_NAME}/{version}/{number}"


def split_into_pages(configuration: Configuration) -> list[Sections]:
    """Return the sections of a configuration, split into pages."""
    names = configuration.names()
    return [
        {name: configuration.section(name) for name in names[start:end]}
        for start, end in _page_ranges(len(names))
    ]


def encode_index(head: Head, pages: list[Sections]) -> str:
    """Encode the index of a snapshot, which contains the digest of every page."""
    return json.dumps(
        {
            "version": head.version,
            "digest": head.digest,
            "pages": [content_digest(page) for page in pages],
        }
    )


def write_snapshot(
    platform: PlatformClient, head: Head, configuration: Configuration
) -> None:
    """Write the pages one after the other, then the index.

    A failed write abandons the snapshot. VMs then start from the previous one until
    the next snapshot is written, some changes later.
    """
    pages = split_into_pages(configuration)
    index = encode_index(head, pages)

    def write_page(number: int) -> None:
        if number == len(pages):
            platform.put_object(INDEX_NAME, index, lambda result: None)
            return
        name = page_name(head.version, number)
        text = json.dumps(pages[number])
        platform.put_object(name, text, lambda result: on_page_written(number, result))

    def on_page_written(number: int, result: Result[None, PlatformError]) -> None:
        if not isinstance(result, Err):
            write_page(number + 1)

    write_page(0)


class SnapshotReader:
    """Reads the newest snapshot page by page and verifies every page.

    Parameters
    ----------
    platform : PlatformClient
    alarm : callable
        Called with a message if the index is damaged, or a page is missing or damaged.
    done : callable
        Called once, with None if no complete snapshot can be read.
    """

    def __init__(
        self,
        platform: PlatformClient,
        alarm: Callable[[str], None],
        done: Callable[[LoadedSnapshot | None], None],
    ) -> None:
        self._platform = platform
        self._alarm = alarm
        self._done = done
        self._configuration = Configuration()
        self._head = Head(0, "")
        self._digests: list[str] = []

    def begin(self) -> None:
        """Read the index, then the pages."""
        self._platform.get_object(INDEX_NAME, self._on_index)

    def _on_index(self, result: Result[str | None, PlatformError]) -> None:
        if isinstance(result, Err) or result.ok_value is None:
            self._done(None)
            return
        try:
            data: Any = parse_json(result.ok_value)
            self._head = Head(int(data["version"]), str(data["digest"]))
            self._digests = [str(digest) for digest in data["pages"]]
        except FIELD_ERRORS:
            self._fail("the index of the snapshot is damaged")
            return
        self._read_page(0)

    def _read_page(self, number: int) -> None:
        if number == len(self._digests):
            self._done(LoadedSnapshot(self._head, self._configuration))
            return
        name = page_name(self._head.version, number)
        self._platform.get_object(name, lambda result: self._on_page(number, result))

    def _on_page(self, number: int, result: Result[str | None, PlatformError]) -> None:
        if isinstance(result, Err):
            self._done(None)
            return
        page = _decode_page(result.ok_value)
        if page is None or content_digest(page) != self._digests[number]:
            self._fail(f"page {number} of the snapshot is missing or damaged")
            return
        self._configuration.extend(page)
        self._read_page(number + 1)

    def _fail(self, text: str) -> None:
        self._alarm(text)
        self._done(None)


def _page_ranges(count: int) -> list[tuple[int, int]]:
    starts = range(0, count, SECTIONS_PER_PAGE)
    return [(start, start + SECTIONS_PER_PAGE) for start in starts]


def _decode_page(text: str | None) -> Sections | None:
    try:
        page = parse_json(text or "")
    except ValueError:
        return None
    if not isinstance(page, dict):
        return None
    is_valid = all(isinstance(keys, dict) for keys in page.values())
    return page if is_valid else None
