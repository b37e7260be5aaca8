"""The interface between a listener's sessions and the program that runs the listener.

`login.py` calls it; the daemon and the stand-in database implement it.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from orchidwind.elected.postgres.executor import Executor, SessionParameters
from orchidwind.elected.postgres.scram import ScramVerifier


class SessionHost(ABC):
    """Authenticates users, opens sessions and handles cancel requests."""

    @abstractmethod
    def verifier(self, user: str) -> ScramVerifier | None:
        """Return the password verifier of a user, or None if the user has none.

        A user that `knows_user` accepts and that has no verifier logs in without a password.
        """

    @abstractmethod
    def knows_user(self, user: str) -> bool:
        """Whether the user may log in at all."""

    @abstractmethod
    async def open(self, parameters: SessionParameters) -> Executor:
        """Open a session; raises RequestError if it is refused."""

    @abstractmethod
    def cancel(self, process_id: int, secret: int) -> None:
        """Handle a cancel request, which arrives on a connection of its own."""
