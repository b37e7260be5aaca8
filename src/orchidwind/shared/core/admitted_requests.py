"""The requests that hold connections of a pool, and the service time that is recorded for each.

Owns: which admitted request holds which connection. `admission` estimates service times from what
is recorded. No I/O, no clock.
"""

from __future__ import annotations

from orchidwind.shared.core.admission import AdmissionQueue, Admitted


class AdmittedRequests:
    """The admitted requests of one pool, by connection."""

    def __init__(self, queue: AdmissionQueue) -> None:
        self._queue = queue
        self._admitted: dict[int, Admitted] = {}
        # The connections whose requests have a recorded service time.
        self._recorded: set[int] = set()

    def granted(self, connection: int, admitted: Admitted) -> None:
        """Record that a request holds a connection."""
        self._admitted[connection] = admitted

    def ran(self, connection: int, seconds: float) -> None:
        """Record that a statement of the request on a connection took this many seconds.

        Connections that the proxy uses itself are ignored.
        """
        admitted = self._admitted.get(connection)
        if admitted is not None:
            first = connection not in self._recorded
            self._queue.record_service_time(seconds, admitted, first)
            self._recorded.add(connection)

    def ended(self, connection: int) -> None:
        """Forget the request that held a connection."""
        self._admitted.pop(connection, None)
        self._recorded.discard(connection)
