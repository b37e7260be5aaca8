"""Load tests of the proxy's decisions, on virtual time and without a network."""
