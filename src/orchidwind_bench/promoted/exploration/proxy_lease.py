"""The lead lease of a proxy of the model, and its part in the registry of leases.

Owns the lease, the proven lead, and the end of what the proxy has acknowledged, which it reports
when it drops its lease. Relies on the store, the lock and calls to instances.
"""

from __future__ import annotations

from functools import partial

from orchidwind.promoted.core.failover_steps import AcknowledgedCommits
from orchidwind.promoted.core.leadership_lease import (
    CONFIRMATIONS_INTERVAL_SECONDS,
    REVOCATION_WAIT_SECONDS,
    LeadershipLease,
    LockReading,
)
from orchidwind.promoted.core.leadership_proof import LeaseEvidence, ProvenLeadership
from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.core.topology import PrimaryView
from orchidwind.promoted.ports import LeaseConfirmation
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.exploration.instances import Commit
from orchidwind_bench.promoted.exploration.proxy_calls import ProxyCalls
from orchidwind_bench.promoted.exploration.proxy_lock import ProxyLock
from orchidwind_bench.promoted.exploration.surroundings import (
    GROUP,
    STORE_RETRY_SECONDS,
    ProxyLife,
    Surroundings,
)
from orchidwind_bench.promoted.exploration.timeline import Process

# The lease is renewed every so many seconds; chosen: half of the product's lease of 1 s.
RENEWAL_SECONDS = 0.5


class ProxyLease:
    """One proxy's lead lease."""

    def __init__(
        self, life: ProxyLife, around: Surroundings, lock: ProxyLock, calls: ProxyCalls
    ) -> None:
        self._life = life
        self._store = around.store
        self._logic = around.logic
        self._lock = lock
        self._calls = calls
        self._topology = calls.topology
        self._lease = LeadershipLease()
        self._acknowledged: dict[str, Position] = {}
        life.store_era.on_restored(self._lease.not_registered)
        self._proven: ProvenLeadership | None = None
        lock.on_seen = self._lock_taken

    def _lock_taken(self, record: LockRecord) -> None:
        self._lease.lock_taken(record.revision)
        if record.holder != self._life.name and self._lease.is_registered:
            self._life.start(self._confirm_drop(record.revision))

    def keep(self) -> Process[None]:
        """Register, then renew the lease again and again."""
        while True:
            while not self._lease.is_registered:
                yield from self._register()
            sent_at = self._life.now()
            read = yield from self._lock.read()
            if read is not None:
                self._lease.lock_seen(LockReading.of(sent_at, read))
                yield from self._prove_lead()
                if not read.exists and not read.released:
                    yield from self._lock.create_free(read)
            yield RENEWAL_SECONDS

    def _register(self) -> Process[None]:
        confirm = partial(self._store.confirm, self._own(StoreRevision(0)))
        answer = yield from self._store.call(self._life.name, "register", confirm, writes=True)
        if answer is None:
            yield STORE_RETRY_SECONDS
        else:
            self._lease.registered(self._life.now())

    def _own(self, revision: StoreRevision) -> LeaseConfirmation:
        """What this proxy writes into the registry of leases, when it dropped its own."""
        first = self._lease.first_revision
        first = revision if first is None else first
        return LeaseConfirmation(self._life.name, revision, first, dict(self._acknowledged))

    def _confirm_drop(self, revision: StoreRevision) -> Process[None]:
        confirmation = self._own(revision)
        yield from self._store.call(
            self._life.name, "confirm", partial(self._store.confirm, confirmation), writes=True
        )

    def _prove_lead(self) -> Process[None]:
        """Prove once that the primary leads, while the lock stays as it is."""
        primary = self._topology.primary(self._life.now())
        revision = self._lease.free_revision
        if primary is None or revision is None:
            return
        if self._proven != ProvenLeadership(primary.instance, revision):
            yield from self.proves_lead(primary)

    def proves_lead(self, primary: PrimaryView) -> Process[bool]:
        """Whether the instances show that the primary leads; notes it for the lock's revision."""
        revision = self._lease.free_revision
        answered = yield from self._calls.lead_round()
        proven = self._logic.proves_lead(answered, primary.term, self._covers_now())
        if not proven or self._topology.primary(self._life.now()) is None:
            return False
        self.proven_under(primary.instance, revision)
        return True

    def _covers_now(self) -> bool:
        return self._lease.covers(self._life.now())

    def free_revision(self) -> StoreRevision | None:
        """The promotion lock's revision while it is known to be free."""
        return self._lease.free_revision

    def proven_under(self, instance: str, revision: StoreRevision | None) -> None:
        """An instance was proven to lead by a query sent while the lock stood at a revision."""
        if revision is not None:
            self._proven = ProvenLeadership(instance, revision)

    def lease_evidence(self, instance: str, term: int) -> LeaseEvidence:
        """What the lead lease says now of an instance that led in a term."""
        return LeaseEvidence(
            self._covers_now(),
            self._lease.free_revision,
            self._proven,
            self._topology.is_replaced(instance, term),
        )

    def wait_for_others(
        self, token: StoreRevision, taken_at: float
    ) -> Process[AcknowledgedCommits | None]:
        """Wait until every other registered proxy has dropped its lease, or all have run out.

        What all proxies have acknowledged, None where one of them does not say.
        """
        self._lease.lock_taken(token)
        deadline = taken_at + REVOCATION_WAIT_SECONDS
        while (left := deadline - self._life.now()) > 0:
            leases = yield from self._store.call(
                self._life.name, "leases", lambda: dict(self._store.leases), writes=False
            )
            if isinstance(leases, dict) and self._life.store_era.current == token.era:
                others = [item for name, item in leases.items() if name != self._life.name]
                if all(item.revision >= token for item in others):
                    return _acknowledged_by([*others, self._own(token)], token.era)
            yield min(CONFIRMATIONS_INTERVAL_SECONDS, max(left, 0.0))
        return None

    def note_acknowledged(self, commit: Commit) -> None:
        """This proxy has acknowledged a commit."""
        position = Position(commit.term, commit.number)
        self._acknowledged[GROUP] = max(position, self._acknowledged.get(GROUP, position))


def _acknowledged_by(confirmed: list[LeaseConfirmation], era: int) -> AcknowledgedCommits:
    return AcknowledgedCommits.by_all(
        [item.acknowledged[GROUP] for item in confirmed if GROUP in item.acknowledged],
        [item.first_revision for item in confirmed],
        era,
    )
