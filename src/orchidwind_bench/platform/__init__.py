"""Bench programs that speak the users' platform protocols."""
