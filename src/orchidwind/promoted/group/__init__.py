"""I/O of promoted groups: connections to instances, leadership proofs, changes of primary."""
