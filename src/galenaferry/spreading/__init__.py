"""Spreading of ordered logs between VMs: new entries, repairs, whole snapshots."""
