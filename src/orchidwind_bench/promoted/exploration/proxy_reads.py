"""The reads of the latest state that a proxy of the model sends for its one caller.

Each read runs at the primary that the proxy knows, with the product's proof that it still leads, by
the lease or by a round of status queries. Owns: nothing.
"""

from __future__ import annotations

from orchidwind.promoted.core.leadership_proof import lease_proves_leadership
from orchidwind.promoted.core.topology import GroupTopology, PrimaryView
from orchidwind_bench.promoted.exploration.instances import Commit
from orchidwind_bench.promoted.exploration.network import WAY_SECONDS
from orchidwind_bench.promoted.exploration.proxy_lease import ProxyLease
from orchidwind_bench.promoted.exploration.surroundings import ProxyLife, Surroundings
from orchidwind_bench.promoted.exploration.timeline import Answers, Process

# Seconds between two reads of one caller: several fall into each change of primary.
READ_EVERY_SECONDS = 0.11
# A caller's patience with a read, in seconds.
READ_SECONDS = 0.8


class ProxyReads:
    """One proxy's reads of the latest state."""

    def __init__(
        self, life: ProxyLife, around: Surroundings, lease: ProxyLease, topology: GroupTopology
    ) -> None:
        self._life = life
        self._around = around
        self._lease = lease
        self._topology = topology

    def send(self) -> Process[None]:
        """Send one read after another."""
        while True:
            yield READ_EVERY_SECONDS
            primary = self._topology.primary(self._life.now())
            if primary is not None:
                self._life.start(self._read(primary))

    def _read(self, primary: PrimaryView) -> Process[None]:
        arrived_at = self._life.now()
        due = self._around.checks.to_be_seen()
        answers = Answers({"log"}, arrived_at + READ_SECONDS)
        self._around.timeline.after(WAY_SECONDS, lambda: self._run(primary.instance, answers))
        proven = yield from self._proven(primary)
        yield answers
        log = answers.got.get("log")
        if proven and isinstance(log, frozenset):
            self._around.checks.read(self._life.now(), self._life.name, primary.instance, due, log)

    def _proven(self, primary: PrimaryView) -> Process[bool]:
        evidence = self._lease.lease_evidence(primary.instance, primary.term)
        if lease_proves_leadership(primary.instance, evidence):
            return True
        return (yield from self._lease.proves_lead(primary))

    def _run(self, name: str, answers: Answers) -> None:
        """The read runs at an instance, if it arrives there."""
        instance = self._around.group.instances[name]
        if not instance.runs or not self._around.network.hears(name, self._life.name):
            return
        log: frozenset[Commit] = frozenset(instance.log)
        self._around.timeline.after(WAY_SECONDS, lambda: answers.deliver("log", log))
