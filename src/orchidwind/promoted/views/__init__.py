"""Drivers of promoted groups: what is followed from the store and from other proxies."""
