"""A small deployment on loopback for the cases: proxies, instances, the platform and clients."""
