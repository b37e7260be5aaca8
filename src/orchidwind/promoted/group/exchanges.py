"""Exchanges of messages with the instances of one group.

An exchange is sent together with the leadership proof that it depends on, and a commit is held back
until it may be acknowledged. `OutstandingWrites` and `OverdueAnswers` detect exchanges that are not
answered; `LeadershipProver` and `HeldCommits` provide the proofs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

from orchidwind.promoted.core.circuit_breaker import Dependency
from orchidwind.promoted.core.commands import InstanceMessage, MessageKind, Reply, ReplyCode
from orchidwind.promoted.core.steps import Exchange, ExchangeResult
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.connections import GroupConnections
from orchidwind.promoted.group.group_breakers import GroupBreakers
from orchidwind.promoted.group.held_commits import HeldCommits
from orchidwind.promoted.group.leadership_prover import LeadershipProver, StatusTask
from orchidwind.promoted.group.outstanding_writes import OutstandingWrites
from orchidwind.promoted.group.overdue_answers import OverdueAnswers
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.ports import InstanceLink
from orchidwind.shared.core.errors import BackendConnectionLost


class ExchangeParts(Struct, frozen=True):
    """Components that the exchanges of one group use.

    `on_unproven` is called after a failed proof of leadership: the primary may have been replaced.
    `ask_on_link` asks an instance for its status on one of its connections, and notes the answer.
    """

    topology: GroupTopology
    connections: GroupConnections
    writes: OutstandingWrites
    overdue: OverdueAnswers
    prover: LeadershipProver
    commits: HeldCommits
    breakers: GroupBreakers
    metrics: ProxyMetrics
    on_unproven: Callable[[], None]
    ask_on_link: Callable[[str, InstanceLink], Awaitable[None]]


class _SentExchange(Struct, frozen=True):
    """An exchange that was sent to an instance; `sent_at` is in seconds of the loop's clock."""

    step: Exchange
    instance: str
    sent_at: float
    writes: bool


class _PendingProof(Struct, frozen=True):
    """The leadership proof of an exchange: the lease, a round of status queries, or neither."""

    leased: bool
    query: StatusTask | None


class Exchanges:
    """Runs the exchanges of one group. Times are in seconds of the loop's clock."""

    def __init__(self, parts: ExchangeParts) -> None:
        self._topology = parts.topology
        self._connections = parts.connections
        self._writes = parts.writes
        self._overdue = parts.overdue
        self._prover = parts.prover
        self._commits = parts.commits
        self._breakers = parts.breakers
        self._metrics = parts.metrics
        self._on_unproven = parts.on_unproven
        self._ask_on_link = parts.ask_on_link
        self._loop = asyncio.get_running_loop()

    async def run(self, step: Exchange, writes: bool, arrived_at: float) -> ExchangeResult:
        """Send messages and wait for the replies. Raises BackendConnectionLost.

        `writes` says whether the exchange may commit, `arrived_at` when its request arrived.
        """
        link = self._connections.records.links.get(step.connection)
        if link is None:
            raise BackendConnectionLost("the connection is closed", sent=False)
        instance = self._connections.records.instance_of[step.connection]
        sent = _SentExchange(step, instance, self._loop.time(), writes)
        self._begin(sent)
        proof = self._begin_proof(sent, arrived_at)
        replies = await self._send(link, sent, ask_role=proof.query is not None)
        if writes and replies[-1].done:
            await self._acknowledge(sent, replies[-1])
        self._count(sent, replies[-1])
        self._topology.answered(instance, self._loop.time())
        return ExchangeResult(replies, await self._proven_at(sent, proof, arrived_at))

    def _begin(self, sent: _SentExchange) -> None:
        self._connections.exchange_began(sent.step.connection)
        self._overdue.watch()
        if sent.writes:
            self._writes.began(sent.step.connection)
            self._prover.request_lease()

    def _begin_proof(self, sent: _SentExchange, arrived_at: float) -> _PendingProof:
        """Ask the other instances in parallel with the exchange, so that this adds no latency."""
        wanted = sent.step.proof_of_term > 0
        leased = wanted and self._prover.lease_proves(sent.instance, arrived_at)
        query = self._prover.join(arrived_at) if wanted and not leased else None
        return _PendingProof(leased, query)

    async def _send(
        self, link: InstanceLink, sent: _SentExchange, ask_role: bool
    ) -> tuple[Reply, ...]:
        """Send the messages; with `ask_role`, the instance is asked for its status before."""
        for message in sent.step.messages:
            self._metrics.message(message.kind.value)
        rejected: bool | None = None
        try:
            if ask_role:
                await self._ask_on_link(sent.instance, link)
            replies = await link.exchange(sent.step.messages)
            rejected = replies[-1].code is ReplyCode.BUSY
            return replies
        except BackendConnectionLost:
            self._overdue.connection_broke(sent.instance)
            raise
        finally:
            self._end(sent, rejected)

    def _end(self, sent: _SentExchange, rejected: bool | None) -> None:
        self._connections.exchange_ended(sent.step.connection, rejected)
        self._writes.ended(sent.step.connection)
        if sent.writes:
            waited = self._writes.waited(sent.instance, sent.sent_at, self._loop.time())
            self._breakers.commit_waited(waited)

    async def _acknowledge(self, sent: _SentExchange, reply: Reply) -> None:
        self._writes.confirmed(sent.instance, self._loop.time())
        self._breakers.succeeded(Dependency.COMMIT)
        await self._commits.wait(sent.instance, sent.step.messages[-1], reply)

    def _count(self, sent: _SentExchange, reply: Reply) -> None:
        leads = self._topology.primary_term(sent.instance) > 0
        kind = _metric_kind(sent.step, sent.step.messages[-1], sent.writes)
        self._metrics.attempt(kind, "primary" if leads else "replica", reply.code.value)

    async def _proven_at(
        self, sent: _SentExchange, proof: _PendingProof, arrived_at: float
    ) -> float | None:
        """The time at which the instance is proven to have been primary; None without a proof."""
        if proof.leased:
            self._breakers.succeeded(Dependency.LEAD_PROOF)
            return arrived_at
        if proof.query is None:
            return None
        term = sent.step.proof_of_term
        proven = await self._prover.proves(proof.query, term, arrived_at)
        self._note_proof(proven, sent.sent_at)
        return arrived_at if proven else None

    async def may_read(self, query: StatusTask, term: int, arrived_at: float) -> bool:
        """Whether the other instances show that no later term had begun when a request arrived.

        Only then is it worth asking the primary again.
        """
        requested_at = self._loop.time()
        agreed = await self._prover.others_agree(query, term, arrived_at)
        self._note_proof(agreed, requested_at)
        return agreed

    def _note_proof(self, proven: bool, requested_at: float) -> None:
        if proven:
            self._breakers.succeeded(Dependency.LEAD_PROOF)
        else:
            self._breakers.failed(Dependency.LEAD_PROOF, requested_at)
            self._on_unproven()


def _metric_kind(step: Exchange, asked: InstanceMessage, writes: bool) -> str:
    if asked.kind in (MessageKind.BEGIN, MessageKind.BEGIN_READ_ONLY):
        return "begin"
    if writes:
        return "write"
    return "latest" if step.proof_of_term else "read"
