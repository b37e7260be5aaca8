"""Drivers of promoted groups: connections to instances, proofs, changes of primary."""
