"""Counts failed commands by time, group and cause, from the logs of the proxies."""
