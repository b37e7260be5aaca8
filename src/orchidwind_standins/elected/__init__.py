"""Stand-ins for PostgreSQL and for the platform's object API, for tests and benchmarks."""
