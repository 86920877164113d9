"""Rate limits of workspaces for the whole fleet (docs/design/workspace-limits.md)."""
