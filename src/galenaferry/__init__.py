"""A fleet of HTTP proxies between callers and backend servers."""
