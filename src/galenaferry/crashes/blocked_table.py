"""Table of blocked requests in the store, which outlasts restarts of the whole fleet.

A row has the fingerprint in hexadecimal as its key. A trial of a blocked request at
instances of a version is claimed by inserting a row of its own, so that the fleet tries
each version once.
"""

import json
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any, Final

import xxhash
from result import Err, Ok, Result

from ..clock import Millis
from ..discovery.messages import (
    NO_VERSION,
    HistoryLost,
    StoreVersion,
    TableError,
    TableRow,
    TableUpdate,
)
from ..json_data import FIELD_ERRORS, check_text, parse_json
from ..logs import logger
from ..network.loop import Loop, Timer
from .messages import Blocked
from .store import BlockedStore

RETRY_DELAY_MS: Final[Millis] = 1_000.0
"""Delay before a failed call is repeated."""
REWRITE_SPREAD_MS: Final[Millis] = 1_000.0
"""Time over which VMs write their rows again after a restore of the store."""
CLAIM_SEPARATOR: Final = "/"

log = logger("crashes")

FetchFromPeer = Callable[
    [Callable[[Result[TableUpdate, TableError]], None]],
    None,
]
"""Fetches the table from another VM and calls back."""


class BlockedTable:
    """This VM's access to the table.

    Parameters
    ----------
    loop : Loop
    store : BlockedStore
    name : str
        Name of the table.
    random : Random
    fetch_from_peer : callable
        Used while the store does not respond.
    on_loaded : callable
        Gets the blocked requests by fingerprint.
    blocked : callable
        Returns the requests that this VM blocks now.
    """

    def __init__(
        self,
        loop: Loop,
        store: BlockedStore,
        name: str,
        random: Random,
        fetch_from_peer: FetchFromPeer,
        on_loaded: Callable[[dict[bytes, Blocked]], None],
        blocked: Callable[[], dict[bytes, Blocked]],
    ) -> None:
        self._loop = loop
        self._store = store
        self._name = name
        self._random = random
        self._fetch_from_peer = fetch_from_peer
        self._on_loaded = on_loaded
        self._blocked = blocked
        self._unsaved: dict[bytes, Blocked | None] = {}
        self._retry: Timer | None = None

    def load(self) -> None:
        """Read the table, from another VM if the store does not respond."""
        self._cancel_retry()
        self._store.read_all(self._name, self._on_read)

    def save(self, fingerprint: bytes, blocked: Blocked | None) -> None:
        """Write that a request is blocked, or with None that it no longer is."""
        self._unsaved[fingerprint] = blocked
        self._write(fingerprint)

    def on_restored(self) -> None:
        """Write all rows again: the store's older copy may lack some."""
        for fingerprint, blocked in self._blocked().items():
            self._unsaved[fingerprint] = blocked
            delay = REWRITE_SPREAD_MS * self._random.random()
            self._loop.after(delay, partial(self._write, fingerprint))

    def claim_trial(
        self, fingerprint: bytes, version: str, done: Callable[[bool], None]
    ) -> None:
        """Claim the trial of a request at a version; false also without the store."""
        digest = xxhash.xxh64_hexdigest(version.encode())
        key = f"{fingerprint.hex()}{CLAIM_SEPARATOR}{digest}"
        value = json.dumps({"version": version}).encode()

        def finish(error: str) -> None:
            if error:
                log.info("no trial of a blocked request", key=key, reason=error)
            else:
                log.info("trial of a blocked request", key=key, version=version)
            done(not error)

        self._store.insert(self._name, key, value, finish)

    def update_since(self, after: StoreVersion) -> TableUpdate:
        """Return all rows of this VM's blocked requests, for another VM."""
        rows = tuple(
            TableRow(fingerprint.hex(), _encode(blocked))
            for fingerprint, blocked in self._blocked().items()
        )
        return TableUpdate(NO_VERSION, rows, is_snapshot=True)

    def _on_read(self, result: Result[TableUpdate | HistoryLost, TableError]) -> None:
        match result:
            case Ok(TableUpdate() as update):
                self._apply(update.rows)
            case Err(error):
                log.warning("blocked requests could not be read", error=error.text)
                self._fetch_from_peer(self._on_fetched)
                self._cancel_retry()
                self._retry = self._loop.after(RETRY_DELAY_MS, self.load)

    def _cancel_retry(self) -> None:
        if self._retry is not None:
            self._retry.cancel()

    def _on_fetched(self, result: Result[TableUpdate, TableError]) -> None:
        if isinstance(result, Ok):
            self._apply(result.ok_value.rows)

    def _apply(self, rows: Iterable[TableRow]) -> None:
        found: dict[bytes, Blocked] = {}
        for row in rows:
            if row.value is None or CLAIM_SEPARATOR in row.key:
                continue
            try:
                data: Any = parse_json(row.value)
                if data["is_blocked"]:
                    found[bytes.fromhex(row.key)] = Blocked(
                        frozenset(check_text(v, "crashed") for v in data["crashed"]),
                        frozenset(check_text(v, "serving") for v in data["serving"]),
                    )
            except FIELD_ERRORS as error:
                log.warning(
                    "invalid row of a blocked request", row=row.key, error=repr(error)
                )
        if found:
            log.info("blocked requests read", count=len(found))
            self._on_loaded(found)

    def _write(self, fingerprint: bytes) -> None:
        if fingerprint not in self._unsaved:
            return
        blocked = self._unsaved[fingerprint]

        def finish(error: str) -> None:
            if not error:
                if self._unsaved.get(fingerprint, blocked) == blocked:
                    self._unsaved.pop(fingerprint, None)
                return
            log.warning(
                "a blocked request could not be stored",
                fingerprint=fingerprint.hex(),
                error=error,
            )
            self._loop.after(RETRY_DELAY_MS, lambda: self._write(fingerprint))

        self._store.put(self._name, fingerprint.hex(), _encode(blocked), finish)


def _encode(blocked: Blocked | None) -> bytes:
    known = blocked or Blocked()
    row = {
        "is_blocked": blocked is not None,
        "crashed": sorted(known.crashed_versions),
        "serving": sorted(known.serving_versions),
    }
    return json.dumps(row).encode()
