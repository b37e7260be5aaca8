"""Bench programs that speak the first users' protocols."""
