"""Copies of the store's tables that a VM keeps, and the registry of instances."""
