"""HTTP server with JSON bodies for operators, the load balancer and other VMs.

In tests and demos the stand-in for the platform uses it too. Its clients may be anyone
who reaches the address, so everything that it holds for them has a limit
(docs/design/caller-memory.md).
"""

from .component import JsonServer
from .limits import ServerLimits
from .messages import JsonRequest, JsonRequestHandler, JsonResponse

__all__ = [
    "JsonRequest",
    "JsonRequestHandler",
    "JsonResponse",
    "JsonServer",
    "ServerLimits",
]
