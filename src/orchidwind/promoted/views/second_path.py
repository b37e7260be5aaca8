"""How a proxy asks others for a view that it follows, beside the store.

For: `collection_watch`, which asks; `peer_views` answers by links to the others. A port, no code.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from msgspec import Struct

from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import Listing

Item = TypeVar("Item")


class ReportedView(Struct, Generic[Item], frozen=True):
    """What another proxy reported of its view, which was current at `as_of` of this one's clock.

    `revision` is that of the other's view.

    `listing` is None where the asking proxy's own view holds the same, or with `omitted`, where the
    other's is later and too long to be sent unasked.
    """

    peer: str
    as_of: float
    revision: StoreRevision
    listing: Listing[Item] | None
    omitted: bool = False


class SecondPath(Protocol[Item]):
    """Other proxies that follow the same collection."""

    def relied_upon(self) -> bool:
        """Whether others ask this proxy, so that it must not rely on them in its turn."""

    async def ask(self, revision: StoreRevision, whole: bool) -> ReportedView[Item] | None:
        """Ask for what is later than a revision; None where nobody knows.

        `whole`: a long content is to be sent, too.
        """
