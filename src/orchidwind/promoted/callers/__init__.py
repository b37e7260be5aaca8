"""Drivers of promoted groups: the sessions of callers and the commands that they send."""
