"""The proxy of groups whose primary is promoted by a call of a proxy."""
