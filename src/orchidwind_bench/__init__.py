"""Simulator, soak, load and experiment tool."""
