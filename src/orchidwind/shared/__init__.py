"""Code shared by both kinds of proxies: records, sockets, logs, settings, silent connections."""
