"""What the sessions of a listener ask of the program that listens.

For: `login.py` and `server_session.py`; the daemon and the stand-in database answer.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from orchidwind.elected.postgres.executor import Executor, SessionParameters
from orchidwind.elected.postgres.scram import ScramVerifier


class SessionHost(ABC):
    """What a listener gives to its sessions."""

    @abstractmethod
    def verifier(self, user: str) -> ScramVerifier | None:
        """The password verifier of a user; None lets the user in without a password."""

    @abstractmethod
    def knows_user(self, user: str) -> bool:
        """Whether the user may log in at all."""

    @abstractmethod
    async def open(self, parameters: SessionParameters) -> Executor:
        """Open a session; raises RequestError where it is refused."""

    @abstractmethod
    def cancel(self, process_id: int, secret: int) -> None:
        """Take a cancel request from another connection."""
