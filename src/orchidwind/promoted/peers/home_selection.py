"""Selects the homes of commands by what this proxy has learnt of them.

For: `peers.forwarding` and `callers.session_executor`. Owns what is known of the homes
(`core.home_choice`), the budget of second attempts of each group, and their log lines. Relies on
`PeerNetwork` for the homes that can be reached, in the order of preference.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Protocol

from msgspec import Struct

from orchidwind.promoted.core.circuit_breaker import found_none
from orchidwind.promoted.core.command_limits import TimeLimits
from orchidwind.promoted.core.commands import CommandKind
from orchidwind.promoted.core.flow_parts import CommandContext
from orchidwind.promoted.core.home_choice import (
    Demand,
    HomeNews,
    HomeRefusal,
    RerouteBudget,
    may_try_again,
)
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.shared.core.errors import RequestError
from orchidwind.shared.logs import log_event

# A home gets the commands of another one only if it answered within this time, seconds. A command
# sent over a link that was cut without notice could wait there until its deadline.
_ANSWERED_WITHIN_SECONDS = 1.0
# Least time between two log lines about the second attempts of one group, seconds.
_LOG_SECONDS = 1.0


class ReachableHomes(Protocol):
    """The homes that can be reached now; `PeerNetwork` implements it."""

    own: ProxyMember

    def usable_homes(self, group: str, tenant: str) -> Iterator[str]:
        """Yield the homes that may get a tenant's commands, in the order of preference."""

    def link_of(self, home: str) -> PeerLink | None:
        """Return the link to a home; None for this proxy."""

    def has_answered(self, home: str, seconds: float) -> bool:
        """Whether a home answered within the last `seconds`; asks it whether it does if not."""

    def has_one_home(self, tenant: str) -> bool:
        """Whether a tenant has connections at one home only."""

    def next_channel(self) -> int:
        """Return a new number for a session at a home."""


class SelectedHome(Struct, frozen=True):
    """The home that runs a command, by a link or, without one, this proxy.

    As a `probe`, the command may wait there only briefly.
    """

    name: str
    link: PeerLink | None
    probe: bool = False

    def limits(self, limits: TimeLimits, now: float) -> TimeLimits:
        """Return the limits of a command at this home."""
        return limits.for_probe(now) if self.probe else limits


class HomeSelection:
    """Selects homes for the commands of all sessions of one proxy."""

    def __init__(self, homes: ReachableHomes, on_rerouted: Callable[[str], None]) -> None:
        """`on_rerouted` counts a second attempt by its reason."""
        self._homes = homes
        self._on_rerouted = on_rerouted
        self._news = HomeNews()
        self._budgets: dict[str, RerouteBudget] = {}
        self._log = _RerouteLog()
        self._loop = asyncio.get_running_loop()

    def first_home(self, context: CommandContext) -> SelectedHome:
        """Select the home of a new command, or of one whose home was lost."""
        group = context.database.group
        budget = self._budget(group)
        if not context.attempts:
            budget.earn()
        usable = self._usable(group, context.tenant)
        chosen = self._news.first_home(
            _demand(context),
            usable,
            budget,
            self._loop.time(),
            may_probe=not context.in_transaction,
        )
        if chosen is None:
            return self.own_home()
        context.probes = chosen.probe
        return SelectedHome(chosen.home, self._homes.link_of(chosen.home), chosen.probe)

    def _usable(self, group: str, tenant: str) -> Iterator[str]:
        """Yield the preferred one of the usable homes, then the others that answered lately."""
        usable = self._homes.usable_homes(group, tenant)
        for place, home in enumerate(usable):
            if place == 0 or self._homes.has_answered(home, _ANSWERED_WITHIN_SECONDS):
                yield home

    def own_home(self) -> SelectedHome:
        """This proxy, as the home of a command."""
        return SelectedHome(self._homes.own.name, None)

    def second_home(self, context: CommandContext, refusal: HomeRefusal) -> SelectedHome | None:
        """Select another home for a command that a home refused; None if it is not tried again."""
        now, demand = self._loop.time(), _demand(context)
        self._news.refused(demand, refusal, now)
        small_tenant = self._homes.has_one_home(context.tenant)
        if context.rerouted or not may_try_again(refusal, small_tenant):
            return None
        usable = self._usable(demand.group, context.tenant)
        other = self._news.second_home(demand, usable, refusal.home, now)
        if other is None or not (context.probes or self._budget(demand.group).spend()):
            return None
        context.rerouted = True
        context.record_attempt(refusal.home, f"rerouted:{refusal.kind.value}:to={other}")
        self._on_rerouted(refusal.kind.value)
        self._log.rerouted(demand.group, refusal, other, context.command.request_id, now)
        return SelectedHome(other, self._homes.link_of(other))

    def served(self, context: CommandContext, home: str) -> None:
        """Record that a home served a command."""
        if context.command.kind is CommandKind.ROLLBACK:
            return
        if context.needs_primary and not _wrote(context):
            return
        self._news.served(_demand(context), home, self._loop.time())

    def next_channel(self) -> int:
        """Return a new number for a session at a home."""
        return self._homes.next_channel()

    def lacking(self, group: str) -> list[str]:
        """The homes of a group that lack something, each with what it lacks, for operators."""
        return self._news.lacking(group, self._loop.time())

    def _budget(self, group: str) -> RerouteBudget:
        budget = self._budgets.get(group)
        if budget is None:
            budget = self._budgets[group] = RerouteBudget()
        return budget


class _RerouteLog:
    """Logs second attempts: for each group one line a second at most, with their number."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    def rerouted(
        self, group: str, refusal: HomeRefusal, other: str, request_id: str, now: float
    ) -> None:
        """Count a second attempt and log it, unless the group had a line just before."""
        self._counts[group] = self._counts.get(group, 0) + 1
        if now - self._logged_at.get(group, float("-inf")) < _LOG_SECONDS:
            return
        self._logged_at[group] = now
        log_event(
            "command_rerouted",
            group=group,
            home=refusal.home,
            other=other,
            reason=refusal.kind.value,
            request_id=request_id,
            commands=self._counts.pop(group),
        )


def refusal_by_home(
    context: CommandContext, home: str, error: RequestError, sent: bool, seconds_left: float
) -> HomeRefusal:
    """The facts of a command's refusal by a home.

    `sent`: whether anything of it may have gone to an instance.
    """
    return HomeRefusal(
        home,
        error.kind,
        sent,
        found_none(error),
        context.in_transaction,
        seconds_left,
        probe=context.probes,
    )


def _wrote(context: CommandContext) -> bool:
    """Whether a served command shows that its home serves writes."""
    transaction = context.session.transaction
    if context.command.kind is CommandKind.COMMIT:
        return transaction is not None and transaction.wrote
    return context.session.writes(context.command)


def _demand(context: CommandContext) -> Demand:
    """What a command needs of a home."""
    database = context.database
    return Demand(database.group, None if context.needs_primary else database.consistency)
