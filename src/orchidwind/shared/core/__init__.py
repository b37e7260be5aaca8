"""Decisions that both proxies use; no input or output, no clock."""
