"""From a request's method and path to a service and its policy."""
