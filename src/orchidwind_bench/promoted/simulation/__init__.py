"""A simulated world for promoted groups: the product's real drivers run in it on virtual time."""
