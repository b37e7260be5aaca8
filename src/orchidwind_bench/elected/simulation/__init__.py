"""A simulator with a virtual clock and seeded faults, which drives the product's own classes."""
