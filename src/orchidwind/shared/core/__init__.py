"""Rules shared by both kinds of proxies, for elected and promoted groups; no I/O, no clock."""
