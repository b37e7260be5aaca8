"""Which holders of quota shares have confirmed that they use the present version only. No I/O.

For `share_changes`, which completes a change once all holders have confirmed. Owns the
confirmations for one version of the object. They are as good as the end of a share by its age: a
holder that has confirmed uses no earlier share again, also after it has restarted (`own_share`).
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.store_revision import NOTHING_HELD, StoreRevision


class ShareConfirmations:
    """The confirmations of the version at one revision."""

    def __init__(self) -> None:
        self._revision = NOTHING_HELD
        self._confirmed: set[str] = set()

    def learned(self, shares: QuotaShares) -> None:
        """Begin anew with another version."""
        if shares.revision != self._revision:
            self._revision = shares.revision
            self._confirmed.clear()

    def note(self, holder: str, revision: StoreRevision) -> None:
        """Note the confirmation of a holder, unless it is about another version."""
        if revision == self._revision:
            self._confirmed.add(holder)

    def missing(self, shares: QuotaShares) -> list[str]:
        """The holders that have not confirmed this version, sorted."""
        return self.missing_among(shares.holders)

    def missing_among(self, names: Iterable[str]) -> list[str]:
        """Those of these proxies that have not confirmed the version, in their order."""
        return [name for name in names if name not in self._confirmed]
