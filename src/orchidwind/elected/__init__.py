"""The proxy for groups whose instances elect their primary; callers use PostgreSQL's protocol."""
