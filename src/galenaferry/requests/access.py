"""The workspace of one request, and the headers that depend on it."""

from collections.abc import Callable
from typing import Final

from ..attempts.messages import Execution
from ..framing.messages import Header, RequestHead
from ..relay.origin import Origin, RelayAuthentication
from ..routing.table import Route
from ..workspaces.authentication import (
    Authenticated,
    Authentication,
    Public,
    Unauthorized,
    Undecided,
    authenticate,
    authenticate_relayed,
)
from ..workspaces.directory import NO_ACCESS_RULES
from ..workspaces.messages import RelayedWorkspace, Workspace
from .context import RequestContext
from .summary import RequestSummary

UNAUTHORIZED_STATUS: Final = 401
UNDECIDED_STATUS: Final = 503
MAY_HAVE_RUN_STATUS: Final = 502
"""Status of a refusal after an attempt that may have run, which promises nothing."""

Refuse = Callable[[int, str], None]


class AccessCheck:
    """Decides whether a request may be sent, by the keys that are in force.

    Parameters
    ----------
    context : RequestContext
    head : RequestHead
    origin : Origin
    summary : RequestSummary
        Gets the name of the workspace.

    Attributes
    ----------
    workspace : Workspace or None
        The workspace of the request, as of the latest check.
    """

    __slots__ = ("_context", "_head", "_origin", "_rules", "_summary", "workspace")

    def __init__(
        self,
        context: RequestContext,
        head: RequestHead,
        origin: Origin,
        summary: RequestSummary,
    ) -> None:
        self._context = context
        self._head = head
        self._origin = origin
        self._summary = summary
        self._rules = NO_ACCESS_RULES
        self.workspace: Workspace | None = None

    def check(
        self, route: Route, refuse: Refuse, ran: Execution = Execution.NOT_RUN
    ) -> bool:
        """Return whether the request may be sent; refuse it otherwise.

        ``ran`` says whether an earlier attempt may have run.
        """
        self._rules = self._context.access_rules()
        match self._authenticate(route):
            case Authenticated(workspace):
                self.workspace = workspace
                self._summary.workspace = workspace.name
                return True
            case Public():
                self.workspace = None
                return True
            case Unauthorized(reason):
                status = UNAUTHORIZED_STATUS
            case Undecided(reason):
                status = UNDECIDED_STATUS
        refuse(status if ran is Execution.NOT_RUN else MAY_HAVE_RUN_STATUS, reason)
        return False

    def check_again(self, route: Route, refuse: Refuse, ran: Execution) -> bool:
        """Check once more if another version has come into force since."""
        return self.is_unchanged or self.check(route, refuse, ran)

    @property
    def is_unchanged(self) -> bool:
        """Whether the version of the latest check is still in force."""
        return self._context.access_rules().version == self._rules.version

    @property
    def forwarded_head(self) -> RequestHead:
        """The head without the key, and without a workspace that the caller set."""
        if self._rules.directory is None:
            return self._head
        names = self._context.settings.names
        removed = (names.key, names.workspace)
        # Many servers read "_" in the name of a header as "-".
        headers = tuple(
            (name, value)
            for name, value in self._head.headers
            if name.replace(b"_", b"-") not in removed
        )
        return self._head._replace(headers=headers)

    def headers(self) -> tuple[Header, ...]:
        """Return the header with the name of the workspace, if there is one."""
        name = self._context.settings.names.workspace
        if self.workspace is None or not name:
            return ()
        return ((name, self.workspace.name.encode()),)

    def relay_headers(
        self, authentication: RelayAuthentication, request_id: bytes
    ) -> tuple[Header, ...]:
        """Return the header that tells another VM of the workspace."""
        directory = self._rules.directory
        if directory is None:
            return ()
        relayed = RelayedWorkspace(self._rules.version)
        if self.workspace is not None:
            key = self._head.header(self._context.settings.names.key) or b""
            relayed = relayed._replace(
                name=self.workspace.name, digest=directory.digest(key)
            )
        return (authentication.workspace_header(self._head, request_id, relayed),)

    def _authenticate(self, route: Route) -> Authentication:
        if self._origin.workspace is not None:
            return authenticate_relayed(self._origin.workspace, route, self._rules)
        return authenticate(
            self._head,
            route,
            self._rules.directory,
            self._rules.is_certain,
            self._context.settings.names.key,
        )
