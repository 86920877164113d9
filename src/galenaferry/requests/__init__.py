"""The request path: caller connections, exchanges, retries and wait queues.

An exchange handles one request of a caller. It makes one or more attempts, each of
which sends the request to one instance and reads the response. The answer is what the
caller gets: the response of an instance, a refusal that the proxy generates, or the
recorded answer to an earlier request with the same idempotency key.

Header names, metrics and logs say that a request ran where the texts of this package
say that a backend server executed it.
"""
