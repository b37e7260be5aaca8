"""Load on the decisions of a proxy, on virtual time and without a network."""
