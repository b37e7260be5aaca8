"""Simulator, explorer and soak of promoted groups."""
