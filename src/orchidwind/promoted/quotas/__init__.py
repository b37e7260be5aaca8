"""Drivers: the tenants' quotas, and which proxies hold shares of them."""
