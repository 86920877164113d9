"""Admission of requests to services whose instances reject a part of them."""
