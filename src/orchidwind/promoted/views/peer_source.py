"""The port through which a proxy asks other proxies for a view that it also follows at the store.

For: `collection_watch`, which asks; `peer_views` implements the port by links to other proxies.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from msgspec import Struct

from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import Listing

Item = TypeVar("Item")


class ReportedView(Struct, Generic[Item], frozen=True):
    """Another proxy's report of its view, which was current at `as_of` on this proxy's clock.

    `revision` is the revision of the other proxy's view. `listing` is None where the asking proxy
    already holds the same content. It is also None with `omitted`: the other proxy holds a later
    view that is too long to be sent without an explicit request.
    """

    peer: str
    as_of: float
    revision: StoreRevision
    listing: Listing[Item] | None
    omitted: bool = False


class PeerSource(Protocol[Item]):
    """The other proxies that follow the same collection."""

    def is_reader(self) -> bool:
        """Whether other proxies ask this one, so that it must not rely on them."""

    async def ask(self, revision: StoreRevision, whole: bool) -> ReportedView[Item] | None:
        """Ask for content later than a revision; None where no proxy reported the view.

        `whole`: the content is sent however long it is.
        """
