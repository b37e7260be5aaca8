"""Drivers of promoted groups: links between proxies."""
