"""Attempts of a request: what their failures prove and when another is allowed."""
