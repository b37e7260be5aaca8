"""The commits that a proxy of the model sends for its one caller.

Owns the commits that wait for an answer, and which instances are suspected by them. The rule of
acknowledgement is `ProductLogic.acknowledge`.
"""

from __future__ import annotations

from orchidwind.promoted.core.instance_silence import instance_suspect
from orchidwind_bench.promoted.exploration.acknowledgement import AcknowledgingProxy
from orchidwind_bench.promoted.exploration.checks import THAW_SLACK_SECONDS
from orchidwind_bench.promoted.exploration.instances import Commit
from orchidwind_bench.promoted.exploration.network import WAY_SECONDS
from orchidwind_bench.promoted.exploration.proxy_lease import ProxyLease
from orchidwind_bench.promoted.exploration.store import Conflict
from orchidwind_bench.promoted.exploration.surroundings import ProxyLife, Surroundings
from orchidwind_bench.promoted.exploration.timeline import Answers, Process

# A caller's patience with a commit, in seconds; the first users' statement timeouts are as long.
COMMIT_SECONDS = 0.8
# Seconds between two commits of one caller: several fall into each change of primary.
COMMIT_EVERY_SECONDS = 0.07


class ProxyCommits:
    """One proxy's commits, which it acknowledges as the rule says."""

    def __init__(
        self, proxy: AcknowledgingProxy, life: ProxyLife, around: Surroundings, lease: ProxyLease
    ) -> None:
        self._proxy = proxy
        self._life = life
        self._around = around
        self._lease = lease
        self._timeline = around.timeline
        self._topology = proxy.topology
        # The primary and the time of sending of each commit without an answer.
        self._waiting: dict[str, tuple[str, float]] = {}
        self._suspected: set[str] = set()
        self._committed_at: dict[str, float] = {}

    def send(self) -> Process[None]:
        """Send one commit after another."""
        if not self._life.name.endswith("1"):
            yield COMMIT_EVERY_SECONDS / 2
        while True:
            primary = self._topology.primary(self._life.now())
            if primary is not None:
                name = f"{self._life.name}@{self._life.now():.3f}"
                self._life.start(self._commit(name, primary.instance))
            yield COMMIT_EVERY_SECONDS

    def _commit(self, name: str, primary: str) -> Process[None]:
        sent_at = self._life.now()
        self._waiting[name] = (primary, sent_at)
        answers = Answers({"answer"}, self._life.now() + COMMIT_SECONDS)
        appended_at = [0.0]
        self._timeline.after(WAY_SECONDS, lambda: self._arrive(name, primary, answers, appended_at))
        yield answers
        self._waiting.pop(name, None)
        answer = answers.got.get("answer")
        if answer is None:
            self._suspected.add(primary)
            return
        self._topology.answered(primary, self._life.now())
        if not isinstance(answer, Commit):
            self._topology.not_primary(primary, self._life.now())
            return
        self._committed_at[primary] = self._life.now()
        logic = self._around.logic
        give_up = sent_at + COMMIT_SECONDS
        acknowledged = yield from logic.acknowledge(self._proxy, primary, answer, give_up)
        now = self._life.now()
        if acknowledged and now < give_up:
            self._lease.note_acknowledged(answer)
            excused = self._excused()
            self._around.checks.commit_acknowledged(
                now, self._life.name, answer, appended_at[0], excused
            )

    def _arrive(self, name: str, primary: str, answers: Answers, appended_at: list[float]) -> None:
        instance = self._around.group.instances[primary]
        network = self._around.network
        if not network.hears(primary, self._life.name) or not instance.joined:
            return

        def answer(what: object) -> None:
            def back() -> None:
                if instance.alive and network.hears(primary, self._life.name):
                    answers.deliver("answer", what)

            self._timeline.after(WAY_SECONDS, back)

        if not instance.alive:
            self._timeline.after(WAY_SECONDS, lambda: answers.deliver("answer", None))
            return
        appended_at[0] = self._life.now()
        if self._around.group.commit(instance, name, answer) is None:
            answer(Conflict())

    def _excused(self) -> bool:
        """Whether this proxy was paused or on a disturbed link a moment ago."""
        paused = self._life.paused_until >= self._life.now() - THAW_SLACK_SECONDS
        paused = paused and self._life.paused_until > 0
        return paused or self._around.network.disturbed(self._life.name, THAW_SLACK_SECONDS)

    def take_suspects(self) -> list[str]:
        """The instances that left a commit without an answer since the last call."""
        found, self._suspected = self._suspected, set()
        now = self._life.now()
        for instance, since in self._waiting.values():
            view = self._topology.instances.get(instance)
            answered_at = view.last_answer_at if view is not None else since
            if instance_suspect(since, answered_at, now):
                found.add(instance)
        return sorted(found)

    def oldest_write(self) -> float:
        """For how many seconds the primary has confirmed nothing to a waiting commit."""
        primary = self._topology.primary(self._life.now())
        if primary is None:
            return 0.0
        committed_at = self._committed_at.get(primary.instance, float("-inf"))
        ages = [
            self._life.now() - max(since, committed_at)
            for instance, since in self._waiting.values()
            if instance == primary.instance
        ]
        return max(ages, default=0.0)
