"""Reads of one table from the platform's store, one at a time, with retries."""

import math
from collections.abc import Callable
from random import Random
from typing import Final, Protocol

from result import Err, Ok, Result

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop, Timer
from .confirmation import Confirmation
from .messages import (
    NO_VERSION,
    READ_TIMEOUT_MS,
    HistoryLost,
    TableError,
    TableSource,
    TableUpdate,
)
from .poll_timing import PROMPT_ANSWER_MS
from .settings import FollowerSettings
from .table_copy import TableCopy

SHORT_POLL_MS: Final = 1.0
"""Time after which the store answers a VM that needs to know at once."""
INITIAL_BACKOFF_MS: Final = 100.0
"""Delay before the first retry, before jitter; it doubles with every further one."""
MAX_BACKOFF_MS: Final = 2_000.0
"""Longest delay before a retry, before jitter. It is long because the store counts
rejected calls too. It is short enough because, of many VMs that each retry every two
seconds, one detects the end of an outage at once and its heartbeats inform the others.
"""

log = logger("discovery")


class ReadListener(Protocol):
    """Follower of the table."""

    def on_read(self, update: TableUpdate, answered_at: Millis) -> None:
        """Handle a result. The store did not send it before ``answered_at``."""

    def on_late_read(self, update: TableUpdate) -> None:
        """Handle the result of a read that was replaced by another one."""

    def on_failed_read(self) -> None:
        """Handle that a read failed; it will be repeated."""


class StoreReads:
    """Reads of a table by this VM.

    Parameters
    ----------
    loop : Loop
    settings : FollowerSettings
    source : TableSource
    random : Random
    copy : TableCopy
    confirmation : Confirmation
    listener : ReadListener

    Attributes
    ----------
    is_reading : bool
        Whether a read is pending or scheduled.
    is_store_unavailable : bool
        Whether the latest read failed.
    needs_full_read : bool
        Whether the next read returns all rows.
    version : StoreVersion
        Version of the latest result.
    reads_after : StoreVersion
        Version after which the pending read returns changes.
    """

    def __init__(
        self,
        loop: Loop,
        settings: FollowerSettings,
        source: TableSource,
        random: Random,
        copy: TableCopy,
        confirmation: Confirmation,
        listener: ReadListener,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._source = source
        self._random = random
        self._copy = copy
        self._confirmation = confirmation
        self._listener = listener
        self._read_number = 0
        self._timer: Timer | None = None
        self._backoff = INITIAL_BACKOFF_MS
        # Whether the store's latest answer came in ``PROMPT_ANSWER_MS``.
        self._is_store_prompt = False
        self._started_at: Millis = -math.inf
        self._wait: Millis = 0.0
        self.is_reading = False
        self.is_store_unavailable = False
        self.needs_full_read = True
        self.version = NO_VERSION
        self.reads_after = NO_VERSION

    def read(self) -> None:
        """Start a read, which lets the store wait for changes if there is time.

        A copy whose confirmation would get too old meanwhile needs an answer at once.
        """
        timing = self._settings.timing
        age = self._confirmation.confirmed_ago
        has_time = age + timing.poll <= timing.max_confirmation_age
        self._start(timing.poll if has_time else SHORT_POLL_MS)

    def read_again_after(self, update: TableUpdate, delay: Millis) -> None:
        """Schedule the read after one that returned ``update``."""
        self._schedule(delay, self._first_poll if update.rows else self._poll)

    def stop(self) -> None:
        """Stop reading; the result of the pending read counts as late."""
        self.is_reading = False
        self.is_store_unavailable = False
        self._read_number += 1
        if self._timer is not None:
            self._timer.cancel()

    def _poll(self) -> None:
        """Start the read after one without changes."""
        self._start(self._settings.timing.poll)

    def _first_poll(self) -> None:
        """Start the read after one with changes, for a random part of the time.

        All readers start it at the same moment. If their connections go silent
        together, the one whose poll ends first finds out for all.
        """
        self._start(self._random.random() * self._settings.timing.poll)

    def _start(self, wait: Millis) -> None:
        """Start a read; an earlier pending one no longer counts, unless it has news."""
        self.is_reading = True
        self._read_number += 1
        read_number = self._read_number
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

        def done(result: Result[TableUpdate | HistoryLost, TableError]) -> None:
            if read_number == self._read_number:
                self._on_result(result)
            else:
                self._on_late_result(result)

        self.reads_after = self._copy.version
        table = self._settings.table
        limit = PROMPT_ANSWER_MS if self._is_store_prompt else READ_TIMEOUT_MS
        if self.needs_full_read:
            wait = 0.0
            self._source.read_all(table, done, limit)
        else:
            self._source.read_changes(table, self._copy.version, wait, done, limit)
        self._started_at = self._loop.clock.now()
        self._wait = wait

    def _on_result(self, result: Result[TableUpdate | HistoryLost, TableError]) -> None:
        was_prompt = self._is_store_prompt
        took = self._loop.clock.now() - self._started_at
        if isinstance(result, Err):
            error = result.err_value
            # A refusal does not say that the next answer will be slow.
            self._is_store_prompt = was_prompt and not error.has_timed_out
            if was_prompt and error.has_timed_out:
                self._replace_silent_read(error)
            else:
                self._on_error(error)
            return
        self._is_store_prompt = took <= self._wait + PROMPT_ANSWER_MS
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            log.info("store is available again", table=self._settings.table)
        self._backoff = INITIAL_BACKOFF_MS
        match result.ok_value:
            case HistoryLost():
                log.info(
                    "store has no changes since this version; reading the whole table",
                    table=self._settings.table,
                )
                self.needs_full_read = True
                self.read()
            case TableUpdate() as update:
                self.needs_full_read = False
                self.version = update.version
                self._listener.on_read(update, self._answered_at(update))

    def _answered_at(self, update: TableUpdate) -> Millis:
        """Return a time before which the store did not send its answer.

        This VM may read the answer late, when its processor is busy.
        """
        if update.is_snapshot:
            return self._started_at
        now = self._loop.clock.now()
        if update.rows:
            return max(self._started_at, now - PROMPT_ANSWER_MS)
        # The store has waited for changes.
        return min(now, self._started_at + self._wait)

    def _replace_silent_read(self, error: TableError) -> None:
        """Read again at once on a new connection, with more time for the answer.

        The connection may be dead and the store well.
        """
        log.info(
            "nothing was heard of a read from the store; reading again",
            table=self._settings.table,
            error=error.text,
        )
        self.read()

    def _on_late_result(
        self, result: Result[TableUpdate | HistoryLost, TableError]
    ) -> None:
        """Pass on what a read that was replaced has returned, if it is news."""
        match result:
            case Ok(TableUpdate() as update) if update.version > self._copy.version:
                self._listener.on_late_read(update)
            case _:
                return

    def _on_error(self, error: TableError) -> None:
        self._listener.on_failed_read()
        if not self.is_store_unavailable:
            self.is_store_unavailable = True
            log.warning(
                "read from the store failed; retrying with backoff",
                table=self._settings.table,
                error=error.text,
            )
        wait = self._backoff * (0.5 + self._random.random())
        self._backoff = min(MAX_BACKOFF_MS, 2.0 * self._backoff)
        self._schedule(wait, self.read)

    def _schedule(self, wait: Millis, read: Callable[[], None]) -> None:
        if wait <= 0.0:
            self._loop.call_soon(read)
        else:
            self._timer = self._loop.after(wait, read)
