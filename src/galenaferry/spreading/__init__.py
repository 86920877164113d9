"""Gossip replication of ordered logs: pushes, repairs and snapshots."""
