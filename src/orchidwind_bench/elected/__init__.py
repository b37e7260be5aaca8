"""Demonstration, experiments and simulator of elected groups."""
