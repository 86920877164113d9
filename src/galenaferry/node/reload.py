"""Takes over what changes in the settings file while the VM runs."""

from collections.abc import Callable
from typing import Final

from result import Err, Result

from ..findings import Finding, describe
from ..logs import logger
from ..network.loop import Loop
from .settings import NodeSettings

CHECK_MS: Final = 5_000.0
"""How often the file is read; it may change without a signal."""
FIXED_FIELDS: Final = ("name", "zone", "region", "callers", "readiness", "peers")

log = logger("settings")

ReadSettings = Callable[[], Result[NodeSettings, list[Finding]]]


class SettingsReload:
    """Reads the settings again at intervals and on request.

    Parameters
    ----------
    loop : Loop
    settings : NodeSettings
        The settings in force.
    read : callable
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
        self._refused = ""
        loop.every(CHECK_MS, self.check)

    def check(self) -> None:
        """Apply the file's settings where they have changed and are sound."""
        result = self._read()
        if isinstance(result, Err):
            self._refuse(describe(result.err_value))
            return
        self._refused = ""
        settings = result.ok_value
        if settings == self._settings:
            return
        fixed = [f for f in FIXED_FIELDS if _differs(f, settings, self._settings)]
        log.info("settings changed", after_restart=fixed)
        self._settings = settings
        self._apply(settings)

    def _refuse(self, findings: str) -> None:
        if findings != self._refused:
            log.error("the settings file is left out", findings=findings)
            self._refused = findings


def _differs(field: str, new: NodeSettings, old: NodeSettings) -> bool:
    return bool(getattr(new, field) != getattr(old, field))
