"""Times of the reads of a table, derived from the time in which news must arrive.

A long poll whose connection went silent looks like one without changes until the store
should have ended it. The longest time without news therefore is the time of a long
poll, and that until its answer counts as lost; then the table is read again on a new
connection, and other VMs are told.
"""

from typing import Final, NamedTuple

from ..clock import Millis

PROMPT_ANSWER_MS: Final[Millis] = 300.0
"""Time in which the store answers also when it is slow (240 ms) or far away. A read
that takes longer is repeated."""
DELIVERY_MS: Final[Millis] = 500.0
"""Time for the read on a new connection and for the notices to the other VMs."""
LONGEST_POLL_MS: Final[Millis] = 2_500.0
SHORTEST_POLL_MS: Final[Millis] = 200.0
SENDING_MS: Final[Millis] = 300.0
"""Time from the choice of an instance until the request reaches it: the connect timeout
of requests (``routing.hosts``)."""
READER_CHECK_INTERVAL_MS: Final[Millis] = 250.0
"""Interval at which a VM checks whether it has to read a shared table itself."""
OWN_READ_MARGIN_MS: Final[Millis] = 250.0
"""Time before the bound at which a VM reads the table itself."""


class PollTiming(NamedTuple):
    """Times of the reads of one table, in milliseconds.

    Attributes
    ----------
    poll : float
        Time after which the store ends a long poll without changes.
    """

    poll: Millis

    @property
    def longest_silence(self) -> Millis:
        """Longest time until a reader notices that its read is silent."""
        return self.poll + PROMPT_ANSWER_MS

    @property
    def longest_without_news(self) -> Millis:
        """Longest time after which a VM has news while its zone has a reader."""
        return self.longest_silence + DELIVERY_MS

    @property
    def max_confirmation_age(self) -> Millis:
        """Age from which a copy no longer counts as the newest one.

        The answer that confirmed it may have been ``PROMPT_ANSWER_MS`` on its way.
        """
        return self.longest_without_news - PROMPT_ANSWER_MS

    @property
    def reader_timeout(self) -> Millis:
        """Age of a copy's confirmation from which a VM reads the table itself."""
        return self.longest_without_news - OWN_READ_MARGIN_MS

    @property
    def longest_without_answer(self) -> Millis:
        """Longest time until a VM that hears of no reader has its own answer."""
        return self.reader_timeout + READER_CHECK_INTERVAL_MS + PROMPT_ANSWER_MS

    def meets(self, bound: Millis) -> bool:
        """Whether news arrives within ``bound``."""
        return self.longest_without_news <= bound


def derive_poll_timing(bound: Millis) -> PollTiming:
    """Return the times with which news of a table arrives within ``bound``, if any do.

    Parameters
    ----------
    bound : float
        Time in milliseconds within which all VMs must know a change.
    """
    poll = bound - PROMPT_ANSWER_MS - DELIVERY_MS
    return PollTiming(min(LONGEST_POLL_MS, max(SHORTEST_POLL_MS, poll)))


def derive_instance_timing(drain_timeout: Millis) -> PollTiming:
    """Return the times with which no request reaches an instance that has drained.

    Parameters
    ----------
    drain_timeout : float
        Time in milliseconds after which a draining instance must get no new requests.
    """
    return derive_poll_timing(drain_timeout - SENDING_MS)
