"""Rules and state machines of promoted groups, without I/O and clocks."""
