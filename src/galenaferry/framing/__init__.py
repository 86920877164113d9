"""Strict HTTP/1.1 message framing for caller and backend server connections."""
