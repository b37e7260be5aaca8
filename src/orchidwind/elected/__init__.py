"""The proxy of groups that elect their primary themselves; callers speak PostgreSQL."""
