"""Checks of the soak on requests that crash instances."""

from collections import defaultdict

from galenaferry.clock import Millis

from .timing import TimingChecks

ALLOWED_ENDS = 3
STABILITY_MS = 3_000.0
"""Time after the third crash from which a request may reach few more instances."""
ALLOWED_RETRIES = 3


class CrashChecks:
    """Crashes by the target of the request that caused them."""

    def __init__(self, timing: TimingChecks) -> None:
        self._timing = timing
        self._ended: set[tuple[str, int]] = set()
        self._crashed_at_by_target: defaultdict[str, list[Millis]] = defaultdict(list)
        self._late_arrivals_by_target: defaultdict[str, int] = defaultdict(int)

    @property
    def count(self) -> int:
        """Number of crashes."""
        return len(self._ended)

    def on_crash(self, target: str, instance: str, born: int, now: Millis) -> bool:
        """Record a crash; return False if this instance has crashed already."""
        if (instance, born) in self._ended:
            return False
        self._ended.add((instance, born))
        self._crashed_at_by_target[target].append(now)
        return True

    def on_arrival(self, target: str, request: str, now: Millis) -> None:
        """Check that a request which has crashed several instances reaches few more."""
        crashed_at = self._crashed_at_by_target[target]
        sent = self._timing.sent(request)
        if len(crashed_at) < ALLOWED_ENDS or sent is None:
            return
        vm, sent_at = sent
        if sent_at <= crashed_at[ALLOWED_ENDS - 1] + STABILITY_MS:
            return
        self._late_arrivals_by_target[target] += 1
        count = self._late_arrivals_by_target[target]
        if count > ALLOWED_RETRIES:
            text = f"{target} reached instances {count} times after {ALLOWED_ENDS} ends"
            self._timing.add_finding(vm, sent_at - STABILITY_MS, now, text)
