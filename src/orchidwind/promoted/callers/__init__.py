"""Drivers for callers of promoted groups: their sessions and the commands that they send."""
