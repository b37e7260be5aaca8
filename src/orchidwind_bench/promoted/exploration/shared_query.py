"""A query of the model that serves all commits which came before it was sent."""

from __future__ import annotations

from collections.abc import Callable

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind_bench.promoted.exploration.timeline import Answers, Owner, Process, Timeline

# Nobody waits longer for a shared query, in seconds.
_PATIENCE_SECONDS = 1.0

_Statuses = dict[str, InstanceStatus]


class ModelSharedQuery:
    """At most one query is under way; whoever comes meanwhile shares the next one."""

    def __init__(
        self,
        ask: Callable[[tuple[str, ...]], Process[_Statuses]],
        whom: Callable[[], tuple[str, ...]],
    ) -> None:
        """`whom` names the instances, when a query is sent."""
        self._ask = ask
        self._whom = whom
        self._waiting: list[Answers] = []
        self._under_way = False

    def join(self, timeline: Timeline, owner: Owner) -> Process[_Statuses]:
        """The answer of a query that is sent after now."""
        answers = Answers({"statuses"}, timeline.now + _PATIENCE_SECONDS)
        self._waiting.append(answers)
        if not self._under_way:
            self._under_way = True
            timeline.start(owner, self._run())
        yield answers
        statuses: _Statuses = answers.got.get("statuses", {})
        return statuses

    def _run(self) -> Process[None]:
        while self._waiting:
            serving, self._waiting = self._waiting, []
            statuses = yield from self._ask(self._whom())
            for answers in serving:
                answers.deliver("statuses", statuses)
        self._under_way = False
