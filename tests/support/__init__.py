"""Scaffolding that several test modules use."""
