"""Server side of the PostgreSQL protocol, version 3, and the message codec."""
