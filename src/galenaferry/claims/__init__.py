"""Claims: at-most-once execution of requests with an idempotency key, on any VM."""
