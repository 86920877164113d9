"""Minimal platform and backend servers with fault injection, for tests and demos."""
