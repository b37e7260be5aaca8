"""The proxy for promoted groups: groups in which a proxy calls for the promotion of a primary."""
