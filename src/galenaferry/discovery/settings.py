"""Settings of the copy of one table."""

from typing import NamedTuple

from ..clock import Millis
from .poll_timing import LONGEST_POLL_MS, PollTiming


class FollowerSettings(NamedTuple):
    """Settings of one table.

    Attributes
    ----------
    table : str
    coalescing_delay : float
        Time between a read with changes and the next read, in milliseconds, in
        which further changes accumulate.
    is_shared : bool
        Whether only some VMs read the table and broadcast changes to the others.
    startup_delay : float
        Time in milliseconds after the start in which the VM does not read a shared
        table itself, as readers tell of it.
    timing : PollTiming
    """

    table: str
    coalescing_delay: Millis
    is_shared: bool = False
    startup_delay: Millis = 0.0
    timing: PollTiming = PollTiming(LONGEST_POLL_MS)
