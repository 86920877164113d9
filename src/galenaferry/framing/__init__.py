"""Strict HTTP/1.1 framing towards callers and backend servers."""
