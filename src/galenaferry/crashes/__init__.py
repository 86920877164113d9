"""Requests that crash the instances which run them (queries of death)."""
