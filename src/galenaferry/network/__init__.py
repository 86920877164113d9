"""Sockets and timers on the one loop."""
