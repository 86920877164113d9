"""Demonstration of a local fleet: simulated servers, three entry VMs and a load."""
