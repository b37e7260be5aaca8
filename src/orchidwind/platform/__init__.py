"""Adapters between the proxy and the platform of its first users; contains no proxy logic."""
