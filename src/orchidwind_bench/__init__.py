"""Simulation, soak tests, load tests and experiments for the proxy."""
