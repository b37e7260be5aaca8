"""Drivers of promoted groups: the links between proxies."""
