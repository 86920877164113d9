"""Workspaces: their keys, and who may use which routes."""
