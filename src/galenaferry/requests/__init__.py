"""Callers' requests: their connections, exchanges and waiting."""
