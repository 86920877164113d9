"""A proxy VM that reads its configuration and instances from a platform's store.

The store (``adapter.Store``) is a service of the platform that keeps versioned tables.
"""
