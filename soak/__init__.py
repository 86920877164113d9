"""Randomized soak test: real VM processes under injected faults and a steady load.

The harness simulates the platform's store, the backend server instances and the
callers in one process, and checks every response and execution.
"""
