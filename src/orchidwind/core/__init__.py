"""Coordination parts without input or output: time and messages come in, effects go out."""
