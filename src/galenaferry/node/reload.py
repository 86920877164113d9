"""Reloads the settings file while the VM runs."""

from collections.abc import Callable
from typing import Final

from result import Err, Result

from ..findings import Finding, format_findings
from ..logs import logger
from ..network.loop import Loop
from .settings import NodeSettings

CHECK_INTERVAL_MS: Final = 5_000.0
"""Interval at which the file is read, since it may change without a signal."""
RESTART_ONLY_FIELDS: Final = (
    "name",
    "zone",
    "region",
    "callers",
    "readiness",
    "peers",
    "quota",
    "has_admission_control",
)
"""Fields whose changes take full effect only after a restart."""

log = logger("settings")

ReadSettings = Callable[[], Result[NodeSettings, list[Finding]]]


class SettingsReloader:
    """Reloads the settings periodically and on request.

    Parameters
    ----------
    loop : Loop
    settings : NodeSettings
        The settings in force.
    read : callable
        Reads the settings file.
    apply : callable
        Called with settings that differ from those in force.
    """

    def __init__(
        self,
        loop: Loop,
        settings: NodeSettings,
        read: ReadSettings,
        apply: Callable[[NodeSettings], None],
    ) -> None:
        self._settings = settings
        self._read = read
        self._apply = apply
        self._reported_findings = ""
        loop.every(CHECK_INTERVAL_MS, self.check)

    def check(self) -> None:
        """Apply the settings in the file if they are valid and have changed."""
        result = self._read()
        if isinstance(result, Err):
            self._report_findings(format_findings(result.err_value))
            return
        self._reported_findings = ""
        settings = result.ok_value
        if settings == self._settings:
            return
        restart_only = [
            f for f in RESTART_ONLY_FIELDS if _differs(f, settings, self._settings)
        ]
        log.info("settings changed", after_restart=restart_only)
        self._settings = settings
        self._apply(settings)

    def _report_findings(self, findings: str) -> None:
        if findings != self._reported_findings:
            log.error(
                "the settings file is left out",
                findings=findings,
            )
            self._reported_findings = findings


def _differs(field: str, new: NodeSettings, old: NodeSettings) -> bool:
    return bool(getattr(new, field) != getattr(old, field))
