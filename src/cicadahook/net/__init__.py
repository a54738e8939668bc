"""Sockets, clients and timers round the core."""
