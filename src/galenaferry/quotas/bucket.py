"""Token bucket without a clock: every function takes the time as an argument.

The time is in milliseconds of the fleet time (``fleet_time``), which passes more slowly
than the clock while VMs are not heard.
"""

import math
from typing import Final, NamedTuple

from ..clock import Millis

MAX_DEBT_MS: Final = 1_000.0
"""Debt is limited to the tokens of this time, so that a wrong report silences a
workspace for a second at most."""
REPORT_LAG_MS: Final = 50.0
"""Half of the mean age of the reports of other VMs, whose tokens come with them. A
bucket holds so much more than the burst, as demand within the limit could be refused
otherwise; with the whole age, a fleet of 93 VMs in 3 parts exceeded the bound."""

ROUNDING: Final = 1e-9


class Limit(NamedTuple):
    """Limit of a workspace for the whole fleet, both positive.

    ``rate`` is in requests per millisecond and ``burst`` in requests.
    """

    rate: float
    burst: float


class Bucket(NamedTuple):
    """Tokens at a time; negative ones are debt."""

    tokens: float
    updated_at: Millis


def size(limit: Limit) -> float:
    """Return the number of tokens in a full bucket."""
    return limit.burst + limit.rate * REPORT_LAG_MS


def make_bucket(limit: Limit, at: Millis) -> Bucket:
    """Return a bucket that has been filling since time 0, when it had one token."""
    return Bucket(min(size(limit), 1.0 + limit.rate * at), at)


def refill(bucket: Bucket, limit: Limit, at: Millis) -> Bucket:
    """Add the tokens up to a time, at most up to the size of the bucket."""
    passed = max(0.0, at - bucket.updated_at)
    return Bucket(min(size(limit), bucket.tokens + limit.rate * passed), at)


def spend(bucket: Bucket, limit: Limit, count: float) -> Bucket:
    """Take tokens, also if that leaves a debt; a negative count returns some."""
    least = -max(1.0, limit.rate * MAX_DEBT_MS)
    tokens = min(size(limit), max(least, bucket.tokens - count))
    return bucket._replace(tokens=tokens)


def reserve(limit: Limit, silent_share: float, smallest_share: float) -> float:
    """Return the tokens that are reserved for VMs that are silent.

    Parameters
    ----------
    limit : Limit
    silent_share : float
        Share of the fleet's VMs that are silent.
    smallest_share : float
        Share of VMs from which a part of a fleet may fill its bucket up to one token at
        least. Without it, a part would admit nothing of a workspace with a small burst.
    """
    reserved = silent_share * size(limit)
    if 1.0 - silent_share >= smallest_share:
        reserved = min(reserved, size(limit) - 1.0)
    return reserved


def wait(bucket: Bucket, limit: Limit, reserved: float) -> Millis:
    """Return the time until a token is left beside the reserved ones, 0 if one is."""
    missing = 1.0 + reserved - bucket.tokens
    # Rounding must not hold back the last token of a full bucket.
    return missing / limit.rate if missing > ROUNDING else 0.0


def make_limit(rate_per_second: float, burst: float, slack: float) -> Limit | None:
    """Return the limit that a workspace is configured with, None if it has none.

    ``slack`` is that of the bound. A rate without a burst gets one that half of the
    slack covers, since a bucket of one token would refuse two simultaneous requests.
    """
    if not (math.isfinite(rate_per_second) and rate_per_second > 0.0):
        return None
    if not (math.isfinite(burst) and burst > 0.0):
        burst = min(rate_per_second, slack / 2.0)
    return Limit(rate_per_second / 1000.0, max(1.0, burst))
