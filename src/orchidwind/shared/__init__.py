"""What both proxies use: records, sockets, log lines, settings, counts of silent connections."""
