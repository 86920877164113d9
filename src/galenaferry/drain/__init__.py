"""Graceful shutdown (drain) of a VM."""
