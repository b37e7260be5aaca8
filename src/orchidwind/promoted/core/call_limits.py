"""Timeouts of single calls to the store and to the promotion service. No I/O.

The adapters end a call at its timeout. Views that are followed continuously have timeouts of their
own (`freshness`). The caller decides what to do after a timeout: a read is repeated, and a write is
checked by reading back.
"""

from __future__ import annotations

# Timeout of a store call that reads or changes one object, in seconds. The first users' store
# answers in 4 ms, and in 0.4 s if it is a hundred times slower. A leadership lease (1 s) expires
# by itself meanwhile.
STORE_CALL_SECONDS = 1.5

# Maximum number of seconds without data while an answer is arriving. A window of 64 KB takes 0.1 s
# on a link of 5 Mbit/s, and a lost packet adds a few tenths of a second.
ANSWER_STALL_SECONDS = 1.0

# Maximum total duration of an answer that is arriving, in seconds. 1 MB, the largest object of the
# first users' store, takes 8 s at 1 Mbit/s.
LONGEST_ANSWER_SECONDS = 10.0

# Timeout of a promotion, in seconds, unless its caller sets a shorter one. The promotion lock is
# held meanwhile. If no answer arrives, the statuses of the instances show the outcome.
PROMOTION_CALL_SECONDS = 1.0

# Seconds for which a new session waits for the proxy's first configuration before it is refused. A
# proxy has its configuration 0.3 s after its start (docs/PLATFORM.md, "Programs, ports, messages"),
# and one call to the store may be lost meanwhile.
FIRST_CONFIGURATION_SECONDS = 1.5
