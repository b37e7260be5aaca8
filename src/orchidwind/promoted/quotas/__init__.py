"""Drivers for tenants' quotas: admission of operations, and the shares that proxies hold."""
