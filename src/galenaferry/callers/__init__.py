"""Limits on what a VM holds for its callers: memory and connections."""
