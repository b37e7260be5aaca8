"""Calls of the proxies to the instances: statuses and control calls, which may come late."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, unique

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind_bench.promoted.exploration.choices import Choices
from orchidwind_bench.promoted.exploration.instances import ModelGroup, ModelInstance
from orchidwind_bench.promoted.exploration.network import WAY_SECONDS, ModelNetwork
from orchidwind_bench.promoted.exploration.timeline import Answers, Timeline
from orchidwind_bench.promoted.exploration.trace import Trace

# A call that is late arrives after one of these, in seconds: within the caller's patience, under
# the same holder of the lock, and under the next one.
SLOW_SECONDS = 0.06
LATE_SECONDS = 0.9
VERY_LATE_SECONDS = 3.6

# The names of calls that change nothing. Those of leadership proofs have a name of their own, so
# that a schedule that names a status query means the same one whatever callers read.
STATUS_CALL = "status"
LEAD_STATUS_CALL = "lead status"

InstanceOperation = Callable[[ModelInstance], None]


@unique
class Fate(Enum):
    """What becomes of a call to an instance."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    SLOW = "slow"
    LATE = "late"
    VERY_LATE = "very late"


# A status call that comes too late changes nothing: what remains is that it has no answer.
_STATUS_FATES = (Fate.ANSWERED.value, Fate.ANSWER_LOST.value)
_CONTROL_FATES = tuple(fate.value for fate in Fate)
_WAY = {
    Fate.ANSWERED: WAY_SECONDS,
    Fate.ANSWER_LOST: WAY_SECONDS,
    Fate.SLOW: SLOW_SECONDS,
    Fate.LATE: LATE_SECONDS,
    Fate.VERY_LATE: VERY_LATE_SECONDS,
}


class InstanceCalls:
    """Sends calls; what comes back is put into `Answers`."""

    def __init__(
        self,
        timeline: Timeline,
        network: ModelNetwork,
        choices: Choices,
        group: ModelGroup,
        trace: Trace,
    ) -> None:
        self._timeline = timeline
        self._network = network
        self._choices = choices
        self._group = group
        self._trace = trace

    def send(
        self, proxy: str, instance: str, name: str, operation: InstanceOperation, answers: Answers
    ) -> None:
        """Have an instance do something, and tell its status; `name` is the call's."""
        fates = _STATUS_FATES if name in (STATUS_CALL, LEAD_STATUS_CALL) else _CONTROL_FATES
        fate = Fate(self._choices.pick(name, f"{proxy}:{instance}", fates))
        sent_at = self._timeline.now
        if fate is not Fate.ANSWERED:
            self._trace.note(f"call {name} of {proxy} to {instance}: {fate.value}")
        target = self._group.instances[instance]

        def arrive() -> None:
            if not target.joined or not self._network.hears(instance, proxy):
                return
            if not target.alive:
                self._timeline.after(WAY_SECONDS, lambda: answers.deliver(instance, None))
                return
            if target.busy_until > self._timeline.now:
                return
            before = target.status(self._group.positions)
            operation(target)
            status = target.status(self._group.positions)
            if before != status:
                self._trace.note(f"{name} of {proxy} (sent {sent_at:.3f}): {status_text(status)}")
            if fate is not Fate.ANSWER_LOST:
                self._timeline.after(WAY_SECONDS, lambda: self._back(proxy, status, answers))

        self._timeline.after(_WAY[fate], arrive)

    def _back(self, proxy: str, status: InstanceStatus, answers: Answers) -> None:
        if self._network.hears(status.instance, proxy):
            answers.deliver(status.instance, status)


def status_text(status: InstanceStatus) -> str:
    """A status in a few letters: name, role, term, end of its log, fence."""
    return (
        f"{status.instance} {status.role.value} term {status.term}"
        f" log {status.received.term}.{status.received.lsn} fence {status.fence_term}"
    )
