"""Simulator, load and experiment tool, and the capacity measurements."""
