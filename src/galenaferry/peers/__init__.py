"""Authenticated UDP datagrams between the VMs of the fleet."""
