"""Structured logging with a rate limit and without blocking the event loop."""

from .handler import StructuredHandler, logger, set_up_logs

__all__ = ["StructuredHandler", "logger", "set_up_logs"]
