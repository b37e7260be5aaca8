"""Decisions of promoted groups; no input or output, no clock."""
