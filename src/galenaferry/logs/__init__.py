"""Structured logs whose volume is bounded and which never hold up the loop."""

from .handler import StructuredHandler, logger, set_up_logs

__all__ = ["StructuredHandler", "logger", "set_up_logs"]
