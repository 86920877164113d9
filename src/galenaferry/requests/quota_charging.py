"""Charges a request to the limit of its workspace, and refunds it."""

from typing import Final, Protocol

from ..attempts.messages import Execution
from ..clock import Millis
from ..quotas.messages import Admitted, OverLimit
from ..relay.origin import Origin
from ..workspaces.messages import Workspace

OVER_LIMIT_STATUS: Final = 429
OVER_LIMIT_REASON: Final = "the workspace is over its rate limit"


class Quotas(Protocol):
    """Rate limits of workspaces, implemented by ``quotas.component.FleetQuotas``."""

    def admit(self, workspace: Workspace) -> Admitted | OverLimit:
        """Charge a request, if its workspace has room."""

    def refund(self, workspace: Workspace) -> None:
        """Return the token of a request that no instance ran."""


class RefuseRequest(Protocol):
    """Ends a request with a generated answer."""

    def __call__(self, status: int, reason: str, retry_after: Millis | None) -> None:
        """Refuse the request."""


class QuotaCharge:
    """Charge of one request. A relayed request is charged at the VM that relays it.

    Parameters
    ----------
    quotas : Quotas or None
    origin : Origin
    """

    __slots__ = ("_charged_workspace", "_quotas")

    def __init__(self, quotas: Quotas | None, origin: Origin) -> None:
        self._quotas = None if origin.is_relayed else quotas
        self._charged_workspace: Workspace | None = None

    def admit(self, workspace: Workspace | None, refuse: RefuseRequest) -> bool:
        """Charge the request once; return False if that refuses it."""
        is_charged = self._charged_workspace is not None
        if self._quotas is None or workspace is None or is_charged:
            return True
        match self._quotas.admit(workspace):
            case OverLimit(retry_after):
                refuse(OVER_LIMIT_STATUS, OVER_LIMIT_REASON, retry_after)
                return False
            case Admitted():
                self._charged_workspace = workspace
        return True

    def settle(self, ran: Execution) -> None:
        """Refund the request if it ended without having run."""
        workspace, self._charged_workspace = self._charged_workspace, None
        if workspace is not None and ran is Execution.NOT_RUN:
            assert self._quotas is not None
            self._quotas.refund(workspace)
