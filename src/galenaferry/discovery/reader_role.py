"""Whether a VM reads a shared table and speaks of it for its zone."""

import math
from collections.abc import Callable

from ..clock import Clock, Millis
from .settings import FollowerSettings


class ReaderRole:
    """Role of a VM for one table.

    Readers are designated (see ``readers``). A VM that hears nothing of them for too
    long reads the table for itself.

    Parameters
    ----------
    clock : Clock
    settings : FollowerSettings
    is_designated_reader : callable
        Whether this VM is one of the readers of a shared table.
    """

    def __init__(
        self,
        clock: Clock,
        settings: FollowerSettings,
        is_designated_reader: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._is_designated_reader = is_designated_reader
        # Latest time at which a reader is known to have heard of the store.
        self._reader_heard_at: Millis = -math.inf
        self._starts_at: Millis = -math.inf

    def wait(self, delay: Millis) -> None:
        """Need no read for some time, in which readers may be heard."""
        self._reader_heard_at = self._starts_at = self._clock.now() + delay

    def end_wait(self) -> None:
        """Need a read now."""
        self._starts_at = self._clock.now()

    def on_reader_heard(self, at: Millis) -> None:
        """Record that another VM tells of an answer of the store at a time."""
        self._reader_heard_at = max(self._reader_heard_at, at)

    def needs_read(self) -> bool:
        """Whether this VM has to read the table."""
        if self._clock.now() < self._starts_at:
            return False
        if not self._settings.is_shared or self._is_designated_reader():
            return True
        silent_for = self._clock.now() - self._reader_heard_at
        return silent_for > self._settings.timing.reader_timeout

    def may_tell(self) -> bool:
        """Whether this VM tells its zone of what it reads."""
        return self._settings.is_shared and self._is_designated_reader()
