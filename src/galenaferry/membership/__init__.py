"""Gossip membership: which VMs of the fleet are live."""
