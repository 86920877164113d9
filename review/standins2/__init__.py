"""Stand-ins of the second review: platform, servers, clients, and the VM processes."""
