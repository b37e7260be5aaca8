"""What callers lost, by time, database and cause, from the logs of the proxies."""
