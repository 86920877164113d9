"""Authenticated datagrams between the VMs of the fleet."""
