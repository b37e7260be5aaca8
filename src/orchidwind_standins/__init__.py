"""Stand-ins for PostgreSQL and for the platform's services, used in tests and trials."""
