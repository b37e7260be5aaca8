"""Bounds retries to a share of the requests, so that retries cannot multiply an overload."""

from __future__ import annotations

_EARNED_A_REQUEST = 0.1
_MOST_SAVED = 20.0


class RetryBudget:
    """A token bucket that requests fill and retries empty."""

    def __init__(self) -> None:
        self._tokens = _MOST_SAVED

    def earn(self) -> None:
        """A request came."""
        self._tokens = min(self._tokens + _EARNED_A_REQUEST, _MOST_SAVED)

    def take(self) -> bool:
        """Whether a retry is allowed now."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
