"""A demonstration: stand-ins, three entry VMs and a first mixed load."""
