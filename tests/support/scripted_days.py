"""Scripted days of promoted groups on virtual time: faults at times and at logged events.

Relies on the simulated system; owns the handler that calls back at events while a day is played.
"""

import asyncio
import logging
import random

from orchidwind_bench.promoted.simulation.callers import NODES, PromotedSystem
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual


class EventHook(logging.Handler):
    """Calls back at each event that the proxies log; what the callback raises is kept."""

    def __init__(self):
        super().__init__()
        self.on_event = lambda record: None
        self.raised = []

    def emit(self, record):
        try:
            self.on_event(record)
        except Exception as error:  # raised here, it would end a proxy's task instead of the test
            self.raised.append(error)


def play(seed, plan, seconds, instances=3, on_event=None, callers_a_node=2):
    """Run a system by a plan of times and faults; `on_event` gets it and each logged event."""

    def inflict(fault, system):
        try:
            fault(system)
        except Exception as error:  # the loop would only log it
            hook.raised.append(error)

    async def work():
        system = PromotedSystem(seed, instances)
        loop = asyncio.get_running_loop()
        for at, fault in plan:
            loop.call_later(at, inflict, fault, system)
        if on_event is not None:
            hook.on_event = lambda record: on_event(system, record)
        await system.run(seconds, callers_a_node)
        return system

    random.seed(seed)  # of this, the proxies take their jitter
    logger = logging.getLogger("orchidwind")
    level, hook = logger.level, EventHook()
    logger.setLevel(logging.INFO)
    logger.addHandler(hook)
    try:
        system = run_virtual(work())
    finally:
        logger.removeHandler(hook)
        logger.setLevel(level)
    assert hook.raised == []
    return system


def crash_and_leave(system, name, entry_outlives=3.6):
    """An instance ends without a word; its entry goes when three heartbeats are missing."""
    system.group.instances[name].crash()
    asyncio.get_running_loop().call_later(entry_outlives, system.world.store.drop_entry, name)


def deafen(system, name):
    """An instance receives of no other; the proxies reach it."""
    for other in list(system.group.instances):
        if other != name:
            system.world.network.cut(other, name, one_way=True)


def cut_proxies(system, instance, proxies=NODES):
    """These proxies and an instance do not reach each other; the other instances reach it."""
    for proxy in proxies:
        system.world.network.cut(proxy, instance)


def drain(system, name):
    """An instance tells that it will end."""
    system.group.instances[name].draining = True
    system.group.announce(system.group.instances[name])


def once(event, act):
    """A hook that acts on the first event of a name."""
    done = []

    def on_event(system, record):
        if record.getMessage() == event and not done:
            done.append(system.world.now)
            act(system, record)

    on_event.done = done
    return on_event
