"""A simulated world for managed groups: the product's real drivers run in it on virtual time."""
