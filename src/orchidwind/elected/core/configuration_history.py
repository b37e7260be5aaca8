"""Keeps the configuration in force at a node and decides which configuration may replace it.

A node never adopts a lower version. A node without a configuration does not adopt one from a single
peer, which may have an old version: it waits for a read from the platform, or until a majority of
the peers in its view has reported a version, and then adopts the highest.
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidwind.elected.core.configuration import ConfigurationDocument


@dataclass(frozen=True, slots=True)
class Adopt:
    """This configuration is in force from now on."""

    document: ConfigurationDocument


@dataclass(frozen=True, slots=True)
class FetchFrom:
    """Request the configuration that a peer holds."""

    peer: str


HistoryEffect = Adopt | FetchFrom


# A configuration of 1 MB takes 1.6 s on a link of 5 Mbit/s. After this time without an answer
# another fetch may begin.
FETCH_SECONDS = 2.0


class FetchLimiter:
    """Allows one configuration fetch at a time: concurrent fetches would share the same link.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._busy_until = float("-inf")

    def begin(self, now: float) -> bool:
        """Begin a fetch; returns False if another one is in progress."""
        if now < self._busy_until:
            return False
        self._busy_until = now + FETCH_SECONDS
        return True

    def ended(self) -> None:
        """End the fetch, whether it succeeded or failed."""
        self._busy_until = float("-inf")


class ConfigurationHistory:
    """The configuration in force at one node."""

    def __init__(self) -> None:
        self.current: ConfigurationDocument | None = None
        self._peer_versions: dict[str, int] = {}
        self._candidate: ConfigurationDocument | None = None

    @property
    def version(self) -> int:
        """The version in force, 0 if there is none yet."""
        return self.current.version if self.current else 0

    def on_platform(self, document: ConfigurationDocument) -> list[HistoryEffect]:
        """A document was received from the platform; adopted if it is newer."""
        return self._adopt(document)

    def on_peer_version(self, peer: str, version: int, peers_in_view: int) -> list[HistoryEffect]:
        """A peer reported the version that it has in force."""
        self._peer_versions[peer] = max(version, self._peer_versions.get(peer, 0))
        if self.current is None:
            adopted = self._adopt_candidate(peers_in_view)
            if adopted:
                return adopted
        known = self._candidate.version if self._candidate else self.version
        return [FetchFrom(peer)] if version > known else []

    def on_peer_document(
        self, peer: str, document: ConfigurationDocument, peers_in_view: int
    ) -> list[HistoryEffect]:
        """A peer sent its configuration document."""
        self._peer_versions[peer] = max(document.version, self._peer_versions.get(peer, 0))
        if self.current is not None:
            return self._adopt(document)
        if self._candidate is None or document.version > self._candidate.version:
            self._candidate = document
        return self._adopt_candidate(peers_in_view)

    def forget_peer(self, peer: str) -> None:
        """Forget the version of a peer that has left the view."""
        self._peer_versions.pop(peer, None)

    def _adopt_candidate(self, peers_in_view: int) -> list[HistoryEffect]:
        if self._candidate is None or len(self._peer_versions) <= peers_in_view // 2:
            return []
        if max(self._peer_versions.values()) > self._candidate.version:
            return []
        return self._adopt(self._candidate)

    def _adopt(self, document: ConfigurationDocument) -> list[HistoryEffect]:
        if document.version <= self.version:
            return []
        self.current = document
        self._candidate = None
        return [Adopt(document)]
