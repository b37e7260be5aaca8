"""Simulator and explorer of promoted groups."""
