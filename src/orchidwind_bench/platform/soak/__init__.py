"""A randomized fault soak: real proxies, callers, stand-ins, and faults from outside."""
