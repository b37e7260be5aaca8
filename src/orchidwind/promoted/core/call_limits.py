"""How long one call to the store or to the promotion service may take. No I/O.

For: the adapters, which end a call at these limits, and their callers, which wait no longer. Views
that are followed have limits of their own (`freshness`). What becomes of a call that was ended is
its caller's decision: a read is repeated, a write is read back.
"""

from __future__ import annotations

# A store call that reads or changes one object, seconds. The first users' store answers in
# 4 ms, and slowed a hundredfold in 0.4 s. A lead lease (1 s) runs out meanwhile by itself.
STORE_CALL_SECONDS = 1.5

# An answer that is arriving is waited for until nothing came for so long, seconds. A window
# of 64 KB takes 0.1 s on a link of 5 Mbit/s, and a lost packet some tenths more.
ARRIVING_SECONDS = 1.0

# Such an answer ends in any case after so long, seconds. 1 MB, the longest object of the
# first users' store, takes 8 s at 1 Mbit/s.
LONGEST_ANSWER_SECONDS = 10.0

# A promotion, seconds, where its caller does not allow less. The promotion lock is held
# meanwhile, and the statuses of the instances tell the outcome where no answer came.
PROMOTION_CALL_SECONDS = 1.0

# How long a new session waits for the proxy's first configuration before it is refused, seconds.
# A proxy is prepared 0.3 s after its start (docs/PLATFORM.md, "Programs, ports, messages"),
# and one call of the store may be lost meanwhile.
FIRST_CONFIGURATION_SECONDS = 1.5
