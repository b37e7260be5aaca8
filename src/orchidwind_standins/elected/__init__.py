"""Programs in the place of PostgreSQL and of the object API."""
