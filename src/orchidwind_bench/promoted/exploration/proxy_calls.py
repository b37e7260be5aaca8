"""Calls of a proxy of the model to instances, whose answers go into its topology.

Owns the shared status query; relies on the proxy's views and on the model's instances.
"""

from __future__ import annotations

from msgspec.structs import replace

from orchidwind.promoted.core.instance_silence import status_time_limit
from orchidwind.promoted.core.status_rounds import StatusRound, must_answer
from orchidwind_bench.promoted.exploration.instance_calls import (
    LEAD_STATUS_CALL,
    STATUS_CALL,
    InstanceOperation,
)
from orchidwind_bench.promoted.exploration.performer import Statuses
from orchidwind_bench.promoted.exploration.proxy_views import ProxyViews
from orchidwind_bench.promoted.exploration.shared_query import ModelSharedQuery
from orchidwind_bench.promoted.exploration.surroundings import ProxyLife, Surroundings
from orchidwind_bench.promoted.exploration.timeline import Answers, Process

# Instances that left long ago are looked for every so many seconds; chosen.
FORGET_SECONDS = 5.0


class ProxyCalls:
    """One proxy's calls to instances."""

    def __init__(self, life: ProxyLife, around: Surroundings, views: ProxyViews) -> None:
        self._life = life
        self._around = around
        self._views = views
        self.topology = views.topology
        self._query = ModelSharedQuery(self.ask, self._other_listed)
        self._lead_query = ModelSharedQuery(self._ask_for_lead, self._asked_for_lead)

    def call_all(
        self, instances: tuple[str, ...], name: str, operation: InstanceOperation, urgent: bool
    ) -> Process[Statuses]:
        """Call instances at the same time; the statuses of those that answered."""
        sent_at = self._life.now()
        patience = max((self._patience(item, urgent) for item in instances), default=0.0)
        answers = Answers(set(instances), sent_at + patience)
        for instance in instances:
            self._around.calls.send(self._life.name, instance, name, operation, answers)
        yield answers
        statuses: Statuses = {}
        for instance in instances:
            status = answers.got.get(instance)
            if status is None:
                self.topology.unreachable(instance, self._life.now())
                continue
            statuses[instance] = replace(status, asked_at=sent_at)
            self.topology.take_status(statuses[instance])
        return statuses

    def _patience(self, instance: str, urgent: bool) -> float:
        view = self.topology.instances.get(instance)
        silent = view is not None and view.unreachable_since is not None
        return status_time_limit(ever_answered=True, unreachable=silent, urgent=urgent)

    def ask(self, instances: tuple[str, ...]) -> Process[Statuses]:
        """Ask instances for their statuses."""
        return self.call_all(instances, STATUS_CALL, _nothing, urgent=False)

    def _ask_for_lead(self, instances: tuple[str, ...]) -> Process[Statuses]:
        return self.call_all(instances, LEAD_STATUS_CALL, _nothing, urgent=False)

    def ask_other_listed(self) -> Process[Statuses]:
        """The statuses of all listed instances but the primary; others share the query."""
        return self._query.join(self._around.timeline, self._life)

    def lead_round(self) -> Process[StatusRound]:
        """A round of statuses that may prove that the primary leads; others share the query."""
        led = self._led()
        required = must_answer(self._views.listed(), led, self.topology.last_promotion)
        statuses = yield from self._lead_query.join(self._around.timeline, self._life)
        return StatusRound(led, required, tuple(statuses.values()))

    def _led(self) -> str:
        primary = self.topology.primary(self._life.now())
        return primary.instance if primary is not None else ""

    def _asked_for_lead(self) -> tuple[str, ...]:
        led = self._led()
        others = self._other_listed()
        return self._around.logic.asked_for_lead((*others, led) if led else others)

    def _other_listed(self) -> tuple[str, ...]:
        led = self._led()
        views = self.topology.instances
        return tuple(
            name
            for name in self._views.listed()
            if name != led and views[name].unreachable_since is None
        )

    def forget(self) -> Process[None]:
        """Drop who left long ago, once the others were asked what they hold; the primary first."""
        while True:
            yield FORGET_SECONDS
            topology = self.topology
            if topology.confirming.any_expired(self._life.now()):
                for name in sorted(
                    self._views.listed(), key=lambda item: not topology.primary_term(item)
                ):
                    yield from self.ask((name,))
            topology.confirming.drop_expired(self._life.now(), topology.settings)


def _nothing(instance: object) -> None:
    """A status call changes nothing."""
