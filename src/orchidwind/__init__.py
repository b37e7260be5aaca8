"""PostgreSQL proxy with session consistency, and its parts for coordination between proxies."""
