"""Sockets and timers that connect the core classes to the network."""
