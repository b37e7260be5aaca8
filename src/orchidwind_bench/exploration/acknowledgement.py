"""When a proxy of the model tells its caller that a commit is done."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from orchidwind.core.managed.commands import InstanceRole, InstanceStatus
from orchidwind.core.managed.topology import knows_no_later_term
from orchidwind_bench.exploration.instances import Commit
from orchidwind_bench.exploration.timeline import Process

# A commit that cannot be told yet is looked at again after this, in seconds, and given up later.
_AGAIN_SECONDS = 0.1
_GIVE_UP_SECONDS = 4.0


class AcknowledgingProxy(Protocol):
    """What a rule needs of the proxy."""

    def now(self) -> float:
        """The proxy's steady clock, in seconds."""

    def lead_proven(self, instance: str) -> bool:
        """Whether the lead lease covers this moment and the lead was proven under it."""

    def listed(self) -> tuple[str, ...]:
        """The instances that the directory lists, as this proxy knows."""

    def ask(self, instances: tuple[str, ...]) -> Process[dict[str, InstanceStatus]]:
        """Ask instances for their statuses."""


AcknowledgementRule = Callable[[AcknowledgingProxy, str, Commit], Process[bool]]


def at_once(proxy: AcknowledgingProxy, primary: str, commit: Commit) -> Process[bool]:
    """A commit that the primary confirms is told."""
    return True
    yield 0.0


@dataclass(frozen=True, slots=True)
class ProvenOnly:
    """A commit is told under a proven lead, or when a listed replica holds it.

    The switches remove one part of the rule each, to see what it is for.
    """

    needs_holder: bool = True
    needs_no_fence: bool = True
    needs_lease: bool = True

    def __call__(self, proxy: AcknowledgingProxy, primary: str, commit: Commit) -> Process[bool]:
        """Whether the commit may be told; returns once that is known."""
        give_up = proxy.now() + _GIVE_UP_SECONDS
        while proxy.now() < give_up:
            if not self.needs_lease or proxy.lead_proven(primary):
                return True
            told = yield from proxy.ask(tuple(item for item in proxy.listed() if item != primary))
            if self._held(told, commit):
                return True
            if any(item.term > commit.term for item in told.values()):
                return False
            yield _AGAIN_SECONDS
        return False

    def _held(self, told: dict[str, InstanceStatus], commit: Commit) -> bool:
        replicas = [item for item in told.values() if item.role is InstanceRole.REPLICA]
        holders = [
            item
            for item in replicas
            if item.received.term == commit.term and item.received.lsn >= commit.number
        ]
        if self.needs_holder and not holders:
            return False
        if not self.needs_no_fence:
            return True
        return bool(told) and all(knows_no_later_term(item, commit.term) for item in told.values())
