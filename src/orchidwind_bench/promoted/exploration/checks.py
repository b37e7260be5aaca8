"""What a run of the model must never show."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique

from orchidwind_bench.promoted.exploration.instances import Commit, ModelInstance

# A proxy that was paused or cut off so lately may pass on what an old primary still did, in
# seconds; the first users' rules name it.
THAW_SLACK_SECONDS = 0.3


@unique
class BrokenPromise(Enum):
    """The promises that are checked."""

    LOST = "an acknowledged commit is missing from a log that begins to lead"
    TOLD_TOO_LATE = "a commit was acknowledged that a log which had begun to lead did not have"
    TWO_PROMOTERS = "two proxies promoted under one token, or under a token already passed"
    TWO_PRIMARIES = "a replaced primary's later commit was acknowledged"
    ENDED_BY_ERROR = "a change of primary ended by an error of its own"
    STALE = "a read of the latest state lacks a commit that was acknowledged before"
    STUCK = "no commit was acknowledged for long after all faults were mended"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, and what was seen. `at` is in seconds of virtual time."""

    promise: BrokenPromise
    at: float
    text: str


@dataclass(frozen=True, slots=True)
class _Lead:
    """An instance began to lead: its term, and the commits that it had."""

    instance: str
    term: int
    at: float
    held: frozenset[Commit]


@dataclass(slots=True)
class Checks:
    """Collects what matters to the promises, and what broke them."""

    violations: list[Violation] = field(default_factory=list)
    acknowledged: dict[Commit, float] = field(default_factory=dict)
    # When a commit was last acknowledged, in seconds.
    newest_at: float = 0.0
    _leads: list[_Lead] = field(default_factory=list)
    _newest_token: int = 0
    _token_holder: str = ""
    # Rolled back already: each loss is reported once.
    _lost: set[Commit] = field(default_factory=set)

    def _blame(self, promise: BrokenPromise, at: float, text: str) -> None:
        self.violations.append(Violation(promise, at, text))

    def led(self, at: float, instance: ModelInstance) -> None:
        """An instance begins to lead with what it holds."""
        held = frozenset(instance.log)
        missing = [
            item for item in self.acknowledged if item not in held and item not in self._lost
        ]
        self._leads.append(_Lead(instance.name, instance.term, at, held))
        if missing:
            self._lost.update(missing)
            names = ", ".join(f"{item.name} ({item.term}.{item.number})" for item in missing[:4])
            text = f"{instance.name} leads term {instance.term} without {len(missing)}: {names}"
            self._blame(BrokenPromise.LOST, at, text)

    def commit_acknowledged(
        self, at: float, proxy: str, commit: Commit, appended_at: float, slack: bool
    ) -> None:
        """A proxy has acknowledged a commit.

        `slack` says that the proxy was lately paused or cut off, for which the rules allow the
        commit of an old primary.
        """
        self.acknowledged[commit] = at
        self.newest_at = at
        for lead in self._leads:
            if lead.term <= commit.term or commit in lead.held or commit in self._lost:
                continue
            after = appended_at > lead.at
            if after and slack:
                continue
            self._lost.add(commit)
            promise = BrokenPromise.TWO_PRIMARIES if after else BrokenPromise.TOLD_TOO_LATE
            text = (
                f"{proxy} acknowledged {commit.name} ({commit.term}.{commit.number}), which"
                f" {lead.instance} lacks, leading term {lead.term} since {lead.at:.3f}"
            )
            self._blame(promise, at, text)

    def to_be_seen(self) -> frozenset[Commit]:
        """The acknowledged commits that no promotion has rolled back."""
        return frozenset(item for item in self.acknowledged if not self._rolled_back(item))

    def _rolled_back(self, commit: Commit) -> bool:
        return any(lead.term > commit.term and commit not in lead.held for lead in self._leads)

    def read(
        self,
        at: float,
        proxy: str,
        instance: str,
        due: frozenset[Commit],
        log: frozenset[Commit],
    ) -> None:
        """A proxy has answered a read of the latest state by the log of an instance.

        `due`: the commits to be seen when the read was asked.
        """
        missing = [item for item in due - log if not self._rolled_back(item)]
        if missing:
            text = (
                f"{proxy} read at {instance} without {len(missing)}, {missing[0].name} among them"
            )
            self._blame(BrokenPromise.STALE, at, text)

    def promoted(self, at: float, holder: str, token: int) -> None:
        """A proxy calls a promotion."""
        passed = token < self._newest_token
        shared = token == self._newest_token and holder != self._token_holder
        if passed or shared:
            text = f"{holder} promotes under {token}, {self._token_holder} had {self._newest_token}"
            self._blame(BrokenPromise.TWO_PROMOTERS, at, text)
        if token > self._newest_token:
            self._newest_token, self._token_holder = token, holder

    def ended_by_error(self, at: float, proxy: str, error: Exception) -> None:
        """A proxy's change of primary raised what nobody expects."""
        self._blame(BrokenPromise.ENDED_BY_ERROR, at, f"{proxy}: {error!r}")

    def stuck(self, at: float, text: str) -> None:
        """No commit was acknowledged for too long."""
        self._blame(BrokenPromise.STUCK, at, text)
