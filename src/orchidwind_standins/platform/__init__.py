"""Stand-ins for the platform's database instances, object store and promotion service."""
