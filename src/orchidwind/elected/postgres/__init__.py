"""The PostgreSQL protocol, version 3, towards callers and towards back ends."""
