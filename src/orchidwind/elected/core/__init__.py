"""Decisions of elected groups; no input or output, no clock."""
