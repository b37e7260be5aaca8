"""Drivers of promoted groups: cached views of the store, confirmed by other proxies."""
