"""Event loop, sockets, timers and HTTP helpers of a process."""
