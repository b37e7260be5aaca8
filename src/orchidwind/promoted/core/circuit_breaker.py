"""Whether something is known to fail here, so that requests need not wait for it. No I/O.

While a breaker is open, requests that would only wait are refused at once and their callers can go
elsewhere; now and then one is let through as a probe, and its success closes the breaker.
"""

from __future__ import annotations

# Requests let through while the breaker is open: few enough that hardly a caller waits in vain,
# and often enough that service is back a quarter of a second after its cause.
PROBE_SECONDS = 0.25


class CircuitBreaker:
    """Closed until failures have lasted for `patience` seconds without a success."""

    def __init__(self, name: str, patience: float) -> None:
        """`name` is for the log."""
        self.name = name
        self._patience = patience
        self._failing_since: float | None = None
        self._succeeded_at = float("-inf")
        self._probed_at = float("-inf")

    def failed(self, since: float) -> None:
        """It was tried from a time on, and did not succeed."""
        if self._failing_since is None:
            self._failing_since = max(since, self._succeeded_at)

    def succeeded(self, now: float) -> None:
        """It was tried, and succeeded."""
        self._failing_since = None
        self._succeeded_at = now

    def is_open(self, now: float) -> bool:
        """Whether it is known to fail."""
        return self._failing_since is not None and now - self._failing_since >= self._patience

    def refuses(self, now: float) -> bool:
        """Whether a request is to be refused; while open, one in a while is let through."""
        if not self.is_open(now):
            return False
        if now - self._probed_at < PROBE_SECONDS:
            return True
        self._probed_at = now
        return False
