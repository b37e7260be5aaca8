"""Stand-ins that speak the first users' platform's protocols: instances, store, promotions."""
