"""Simulation, schedule exploration and load tests of promoted groups."""
