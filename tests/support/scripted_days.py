"""Plays scripted runs of promoted groups on virtual time: faults at set times or at logged events.

The group, the store and the network are simulated; the proxies run their real code.
"""

import asyncio
import logging
import random

from orchidwind_bench.promoted.simulation.callers import NODES, PromotedSystem
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual


class EventHook(logging.Handler):
    """Calls back at each event that the proxies log, and keeps the errors that callbacks raise."""

    def __init__(self):
        super().__init__()
        self.on_event = lambda record: None
        self.raised = []

    def emit(self, record):
        try:
            self.on_event(record)
        except Exception as error:  # if raised here, it would end a proxy's task, not the test
            self.raised.append(error)


def play(seed, plan, seconds, instances=3, on_event=None, callers_a_node=2, read_only_proxies=()):
    """Runs a system with a plan of (time, fault) and returns it.

    `on_event` is called with the system and each logged record. Callers on `read_only_proxies` do
    not write.
    """

    def inflict(fault, system):
        try:
            fault(system)
        except Exception as error:  # the event loop would only log it
            hook.raised.append(error)

    async def work():
        system = PromotedSystem(seed, instances)
        loop = asyncio.get_running_loop()
        for at, fault in plan:
            loop.call_later(at, inflict, fault, system)
        if on_event is not None:
            hook.on_event = lambda record: on_event(system, record)
        await system.run(seconds, callers_a_node, read_only_proxies)
        return system

    random.seed(seed)  # the proxies draw their jitter from this generator
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
    """Crashes an instance; its directory entry is removed after three missed heartbeats."""
    system.group.instances[name].crash()
    asyncio.get_running_loop().call_later(entry_outlives, system.world.store.drop_entry, name)


def deafen(system, name):
    """Cuts an instance off from the log of all others; the proxies still reach it."""
    for other in list(system.group.instances):
        if other != name:
            system.world.network.cut(other, name, one_way=True)


def cut_proxies(system, instance, proxies=NODES):
    """Cuts the network between an instance and these proxies; other instances still reach it."""
    for proxy in proxies:
        system.world.network.cut(proxy, instance)


def drain(system, name):
    """Marks an instance as draining and announces it in the directory."""
    system.group.instances[name].draining = True
    system.group.announce(system.group.instances[name])


def once(event, act):
    """Returns an event hook that acts on the first event with this name."""
    done = []

    def on_event(system, record):
        if record.getMessage() == event and not done:
            done.append(system.world.now)
            act(system, record)

    on_event.done = done
    return on_event
