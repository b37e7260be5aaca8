"""Applies reports from the directory and from a group's instances to the view of the group.

Logs these changes. A change of primary also closes the circuit breakers for leadership proofs and
commits, and logs the last commits of earlier terms. `core/topology` interprets the reports.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from orchidwind.promoted.core.circuit_breaker import Dependency
from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.configuration import DirectoryEntry
from orchidwind.promoted.core.topology import GroupTopology, PrimaryView
from orchidwind.promoted.group.group_breakers import GroupBreakers
from orchidwind.promoted.group.held_commits import HeldCommits
from orchidwind.shared.logs import log_event


class ViewChanges:
    """Applies reports. `on_change` is called when requests and the supervisor must re-evaluate."""

    def __init__(
        self,
        topology: GroupTopology,
        breakers: GroupBreakers,
        commits: HeldCommits,
        on_change: Callable[[], None],
    ) -> None:
        self._topology = topology
        self._breakers = breakers
        self._commits = commits
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()

    def entry_changed(self, entry: DirectoryEntry) -> None:
        """Apply a directory entry that was added or changed."""
        known = self._topology.instances.get(entry.instance)
        claims = self._topology.entry_changed(entry)
        if claims or known is None or known.entry.draining != entry.draining:
            log_event(
                "instance_listed",
                group=self._topology.settings.name,
                instance=entry.instance,
                claims_primary=entry.claims_primary,
                draining=entry.draining,
                revision=entry.revision,
            )
        self._on_change()

    def entry_gone(self, instance: str, removal_unseen: bool = False) -> None:
        """Apply the end of a directory entry.

        `removal_unseen` means that no removal was observed, so the instance may come back.
        """
        self._topology.entry_gone(instance, self._loop.time(), removal_unseen)
        log_event(
            "instance_gone",
            group=self._topology.settings.name,
            instance=instance,
            lapsed=removal_unseen,
        )
        self._on_change()

    def incarnation_ended(self, instance: str, next_life: str) -> None:
        """Apply that an instance restarted as a new incarnation without its earlier log."""
        self._topology.incarnation_ended(instance, self._loop.time())
        log_event(
            "instance_started_anew",
            level=logging.WARNING,
            group=self._topology.settings.name,
            instance=instance,
            next_life=next_life,
            decision="log considered lost, connections closed",
        )
        self._on_change()

    def take_status(self, status: InstanceStatus) -> None:
        """Apply a status that an instance reported."""
        now = self._loop.time()
        before = self._topology.primary(now)
        self._topology.take_status(status)
        after = self._topology.primary(now)
        if before != after:
            self._primary_changed(after, status.instance)

    def _primary_changed(self, primary: PrimaryView | None, reported_by: str) -> None:
        self._breakers.succeeded(Dependency.LEAD_PROOF, Dependency.COMMIT)
        if primary is not None:
            self._commits.log_commits_before(primary.term)
        log_event(
            "primary_changed",
            group=self._topology.settings.name,
            instance=primary.instance if primary else "",
            term=primary.term if primary else 0,
            reported_by=reported_by,
        )
        self._on_change()
