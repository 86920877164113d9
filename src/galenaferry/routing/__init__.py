"""Routing: from a request to a service and the policy that applies to it."""
