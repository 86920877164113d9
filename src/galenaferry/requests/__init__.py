"""The request path: caller connections, exchanges, retries and wait queues."""
