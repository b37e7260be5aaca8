"""Says how a proxy stands with its share of the tenants' quotas, and why it has none. No I/O.

For `quotas.share_keeper`, which shows it to operators and logs it with refusals. Relies on
`quota_shares` for what the stored object gives to whom. Times are in seconds of one monotonic
clock.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum, unique

from msgspec import Struct

from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.shared.core.quota import EARLY_VALID_SECONDS, SHARE_VALID_SECONDS, HeldShare


@unique
class ShareState(Enum):
    """Why a proxy may use as much of the quotas as it does.

    IN_FORCE: its share. EARLY_PART_ENDED: only the late part of it, as the last confirmation is too
    old. NOT_CONFIRMED: nothing, as the last confirmation is too old for both. NOT_READ: nothing, as
    the holders were not read yet. NO_HOLDERS: nothing, as nobody was named a holder yet.
    NEXT_HOLDER: nothing yet, as the present holders may still use all. LEAVING: what it held before
    a change, for a while. NO_HOLDER: nothing, as other proxies are the holders. STARTED: nothing,
    as it has just started and does not know yet that its share is still in force.
    """

    IN_FORCE = "in_force"
    EARLY_PART_ENDED = "early_part_ended"
    NOT_CONFIRMED = "not_confirmed"
    NOT_READ = "not_read"
    NO_HOLDERS = "no_holders"
    NEXT_HOLDER = "next_holder"
    LEAVING = "leaving"
    NO_HOLDER = "no_holder"
    STARTED = "started"


class ShareStatus(Struct, frozen=True):
    """The share of each quota at one proxy, from 0 to 1.

    `in_force` may be used here now, `share` once it is confirmed. `reachable` is in force here or
    held by other proxies that answer. `holders` and `following` are those of the stored object.
    """

    state: ShareState
    share: float
    in_force: float
    reachable: float
    holders: tuple[str, ...]
    following: tuple[str, ...]


def share_status(
    proxy: str, held: QuotaShares | None, used: HeldShare, lost: Collection[str], now: float
) -> ShareStatus:
    """Returns the status of a proxy that uses the share `used` and cannot reach those in `lost`.

    `held` is the stored object, None if it was not read yet.
    """
    known = held or QuotaShares()
    others = {*known.holders, *known.following} - {proxy, *lost}
    in_force = used.in_force(now)
    return ShareStatus(
        state=_state(proxy, held, used, now),
        share=used.whole,
        in_force=in_force,
        reachable=in_force + sum(known.whole_share_of(name) for name in sorted(others)),
        holders=known.holders,
        following=known.following,
    )


def _state(proxy: str, held: QuotaShares | None, used: HeldShare, now: float) -> ShareState:
    if held is None:
        return ShareState.NOT_READ
    if not held.holders:
        return ShareState.NO_HOLDERS
    if used.whole > held.whole_share_of(proxy):
        return ShareState.LEAVING
    if used.whole > 0:
        return _state_of_holder(now - used.confirmed_at)
    if held.whole_share_of(proxy) > 0:
        return ShareState.STARTED
    return ShareState.NEXT_HOLDER if proxy in held.following else ShareState.NO_HOLDER


def _state_of_holder(age: float) -> ShareState:
    if age <= EARLY_VALID_SECONDS:
        return ShareState.IN_FORCE
    return ShareState.EARLY_PART_ENDED if age <= SHARE_VALID_SECONDS else ShareState.NOT_CONFIRMED
