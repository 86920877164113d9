"""Stand-ins of the review: store, instances, clients and the processes of the VMs."""
