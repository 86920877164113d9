"""Decision about second attempts (hedges) of requests that take unusually long."""
