"""PostgreSQL proxy with session consistency, and the coordination parts it is made of."""
