"""Programs that take the place of PostgreSQL and of the platform in tests and trials."""
