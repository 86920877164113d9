"""Requests that reach their instance by way of another VM."""
