"""A randomized fault soak: runs proxy processes, callers and stand-ins, and injects faults."""
