"""The decision logic for elected groups: no I/O, and the time is passed in."""
