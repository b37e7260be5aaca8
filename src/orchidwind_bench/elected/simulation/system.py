"""Homes, callers and one database group on the simulator.

Homes are the product's `HomeGroup`, callers the product's `CallerSession`; these modules only carry
their effects over the simulated network.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import count

from orchidwind.elected.core.retries import after_link_loss
from orchidwind.elected.core.statements import Outcome, StatementRequest
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind_bench.elected.checkers import History
from orchidwind_bench.elected.simulation.caller import SimulatedCaller
from orchidwind_bench.elected.simulation.database import (
    SimulatedGroup,
    SimulatedInstance,
    SimulatedSession,
)
from orchidwind_bench.elected.simulation.events import EventQueue
from orchidwind_bench.elected.simulation.home import OnOutcome, SimulatedHome
from orchidwind_bench.elected.simulation.network import Network
from orchidwind_bench.elected.simulation.plan import SystemPlan


class SimulatedSystem:
    """Proxies in zones before one group, with callers."""

    def __init__(self, plan: SystemPlan) -> None:
        self.plan = plan
        seed, zones = plan.seed, plan.zones
        self.events = EventQueue()
        self.network = Network(self.events, random.Random(f"network/{seed}"), plan.network)
        self.database = SimulatedGroup(
            self.events,
            self.network,
            zones,
            seed=seed,
            count=plan.instances,
            timings=plan.timings,
        )
        self.database.on_session_ended = self._session_ended
        self.history = History(promotions=self.database.promotions)
        self.stopped = False
        self._numbers = count(1)
        self._marks = count(1)
        self.proxies: list[str] = []
        self.homes: dict[str, SimulatedHome] = {}
        self._in_flight: dict[str, dict[int, Callable[[], None]]] = {}
        for zone in zones:
            name = f"proxy-{zone}-0"
            self.proxies.append(name)
            self.network.zone_of[name] = zone
            self.start_home(name)
        self.callers: list[SimulatedCaller] = []
        self.add_callers(plan.callers)

    def add_callers(self, count: int) -> None:
        """More callers come."""
        first = len(self.callers)
        classes = self.plan.classes
        for number in range(first, first + count):
            caller = SimulatedCaller(
                self,
                f"session-{number}",
                named=self.plan.named and number % 2 == 0,
                traffic_class=classes[number % len(classes)],
            )
            self.callers.append(caller)
            caller.start()

    def remove_callers(self, kept: int) -> None:
        """All callers but the first ones end after their next answer."""
        for caller in self.callers[kept:]:
            caller.ended = True

    def next_number(self) -> int:
        """A number for a request or a channel."""
        return next(self._numbers)

    def next_mark(self) -> int:
        """A value that no other write uses."""
        return next(self._marks)

    def start_home(self, name: str) -> None:
        """Start a home, or start it again without memory."""
        self.network.down.discard(name)
        self.network.resume(name)
        self.homes[name] = SimulatedHome(self, name)

    def kill_home(self, name: str) -> None:
        """A proxy's machine is gone; the links to it break."""
        if not self.homes[name].alive:
            return
        self.homes[name].stop()
        self.network.down.add(name)
        for broken in list(self._in_flight.pop(name, {}).values()):
            self.events.after(self.network.delay(), broken)

    def _session_ended(self, instance: SimulatedInstance, session: SimulatedSession) -> None:
        home = self.homes.get(session.home)
        if home is None:
            return

        def told() -> None:
            if home.alive:
                home.session_ended(session)

        self.network.send(instance.name, home.name, told, reliable=True)

    def send(self, proxy: str, request: StatementRequest, on_outcome: OnOutcome) -> None:
        """Carry a request to the home at a proxy, and its outcome back to the caller."""
        key = self.next_number()
        flights = self._in_flight.setdefault(proxy, {})
        finished: list[bool] = []

        def finish(outcome: Outcome, marks: frozenset[int]) -> None:
            if not finished:
                finished.append(True)
                flights.pop(key, None)
                on_outcome(outcome, marks)

        def broken(sent: bool = True) -> None:
            outcome = after_link_loss(request, sent=sent, delivered=False, now=self.events.now)
            if outcome is None:
                expired = RequestError(ErrorKind.NO_HOME, "no proxy serves this database now")
                outcome = Outcome(request.number, error=expired)
            finish(outcome, frozenset())

        def arrive() -> None:
            home = self.homes[proxy]
            if home.alive:
                home.submit(request, answered)

        def answered(outcome: Outcome, marks: frozenset[int]) -> None:
            self.events.after(self.network.delay(), lambda: finish(outcome, marks))

        if not self.homes[proxy].alive:
            self.events.after(self.network.delay(), lambda: broken(sent=False))
            return
        flights[key] = broken
        self.events.after(self.network.delay(), lambda: self.network.on_host(proxy, arrive))
        self.events.at(request.expires_at + 0.25, broken)

    def settle(self, seconds: float = 15.0) -> None:
        """End all faults, stop the callers, and let everything finish."""
        self.stopped = True
        self.network.heal()
        for name in [*self.proxies, *self.database.instances]:
            self.network.resume(name)
        for name in list(self.database.instances):
            self.database.restart(name)
        for instance in self.database.instances.values():
            instance.instance.set_replay_lag(0.0)
        self.events.run_until(self.events.now + seconds)
