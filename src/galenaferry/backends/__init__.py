"""Instances of backend servers: load balancing, concurrency limits and connections."""
