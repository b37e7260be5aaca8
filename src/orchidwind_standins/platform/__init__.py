"""Programs in the place of instances and of the store of promoted groups."""
