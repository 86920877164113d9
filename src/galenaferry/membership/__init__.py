"""The live VMs of the fleet, by heartbeats and hearsay."""
