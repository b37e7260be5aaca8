"""Starts, promotes, disturbs and releases the soak's instances, one process each."""

from __future__ import annotations

import asyncio
import random
import shutil
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path

import msgspec

from orchidwind_bench.platform.soak.instance_state import (
    HOST,
    ZONES,
    InstanceTimes,
    SoakInstance,
)
from orchidwind_bench.processes import Program, free_ports
from orchidwind_standins.platform.replicated_instance import (
    PRIMARY,
    InstanceSettings,
)
from orchidwind_standins.platform.replicated_main import RoleReport, Situation

_START_SECONDS = 10.0
_POLL_SECONDS = 0.005
# A promotion of a paused instance takes effect within this time after the call, or never.
_LATEST_EFFECT_SECONDS = 1.0
# An instance that drains waits at most this long until its entry in the store shows that.
_DRAIN_LISTED_SECONDS = 3.0
_CONTROL_LINE_BYTES = 4096


class InstanceGroup:
    """All instances of one service.

    `on_entry(instance, seconds)` is called when the entry of an instance in the store has to
    change, with the delay of the change. `note` is called with events for traces.
    """

    def __init__(
        self,
        service: str,
        folder: Path,
        seed: int,
        maximum_connections: int,
        times: InstanceTimes,
    ) -> None:
        self.service = service
        self.times = times
        self.instances: dict[str, SoakInstance] = {}
        self.newest_term = 1
        self.on_entry: Callable[[SoakInstance, float], None] = lambda instance, seconds: None
        self.note: Callable[[str], None] = lambda text: None
        self._folder = folder
        self._random = random.Random(f"{seed}/{service}")
        self._maximum_connections = maximum_connections
        self._server: asyncio.Server | None = None
        self._control_port = 0
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    # --- start and stop -------------------------------------------------------------------------

    async def start(self, count: int) -> None:
        """Start the first instances and wait until all have connected; may raise `TimeoutError`."""
        self._control_port = free_ports(1)[0]
        self._server = await asyncio.start_server(
            self._serve_control, HOST, self._control_port, limit=_CONTROL_LINE_BYTES
        )
        for number in range(count):
            self._launch(self._new(free_ports(1)[0]), first_primary=number == 0)
        for instance in list(self.instances.values()):
            await self._wait_until_connected(instance)
        for instance in self.instances.values():
            self.on_entry(instance, 0.0)

    def stop(self) -> None:
        """Cancel all tasks, end all processes, and close the control server."""
        for task in list(self._tasks):
            task.cancel()
        for instance in self.instances.values():
            if instance.program is not None and instance.program.running:
                instance.program.kill()
        if self._server is not None:
            self._server.close()

    def _new(self, port: int) -> SoakInstance:
        name = f"{self.service}-i{self._number}"
        zone = ZONES[self._number % len(ZONES)]
        self._number += 1
        instance = SoakInstance(name, port, zone, self._folder / f"{name}.journal")
        instance.journal.unlink(missing_ok=True)
        self.instances[name] = instance
        return instance

    def _launch(self, instance: SoakInstance, first_primary: bool = False) -> None:
        times = self.times
        settings = InstanceSettings(
            name=instance.name,
            service=self.service,
            port=instance.port,
            control_port=self._control_port,
            journal=str(instance.journal),
            newest_term=self.newest_term,
            first_primary=first_primary,
            may_lead_on=instance.may_lead_on,
            maximum_connections=self._maximum_connections,
            lag_seconds=self._random.uniform(*times.lag),
            part_entries=self._random.randint(*times.part),
            position_term=times.position_term,
            step_down_seconds=times.step_down,
        )
        module = "orchidwind_standins.platform.replicated_main"
        with (self._folder / f"{instance.name}.log").open("ab") as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    f"from {module} import main; main()",
                    msgspec.json.encode(settings).decode(),
                ],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        instance.program = Program(instance.name, process)
        self.note(f"{instance.name} starts")

    async def _wait_until_connected(self, instance: SoakInstance) -> None:
        async with asyncio.timeout(_START_SECONDS):
            while instance.control is None:
                await asyncio.sleep(_POLL_SECONDS)

    async def _serve_control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        instance: SoakInstance | None = None
        try:
            while line := await reader.readline():
                report = msgspec.json.decode(line, type=RoleReport)
                instance = self.instances[report.name]
                changed = instance.role != report.role
                instance.role, instance.term = report.role, report.term
                instance.may_lead_on = instance.may_lead_on or report.role == PRIMARY
                if instance.control is not writer:
                    instance.control = writer
                    self.send_situations()
                if changed:
                    self.on_entry(instance, 0.0)
        except (ConnectionError, asyncio.CancelledError):
            # The stream server asks each handler for its exception, and a cancelled one has none.
            pass
        finally:
            if instance is not None and instance.control is writer:
                instance.control = None
            writer.close()

    def send_situations(self) -> None:
        """Send every instance its peers and its active faults."""
        for instance in self.instances.values():
            self._send_situation(instance)

    def _send_situation(self, instance: SoakInstance, lead: int = 0) -> None:
        if instance.control is None:
            return
        peers = {item.name: item.port for item in self.instances.values() if not item.ended}
        situation = Situation(
            peers, tuple(sorted(instance.cut)), instance.deaf, instance.silent, lead
        )
        instance.control.write(msgspec.json.encode(situation) + b"\n")

    # --- selection of instances -----------------------------------------------------------------

    def present(self) -> list[SoakInstance]:
        """The instances that have not ended for good, sorted by name."""
        return [item for _, item in sorted(self.instances.items()) if not item.ended]

    def undisturbed(self) -> list[SoakInstance]:
        """The instances that run, are neither paused nor silent, and do not drain."""
        return [
            item
            for item in self.present()
            if item.alive and not (item.paused or item.silent or item.draining)
        ]

    def primary(self) -> SoakInstance | None:
        """The instance that last reported itself as primary, with the highest term; or None."""
        leading = [item for item in self.present() if item.role == PRIMARY]
        return max(leading, key=lambda item: item.term, default=None)

    # --- promotions -----------------------------------------------------------------------------

    def promote(self, name: str) -> bool:
        """Accept a promotion, which takes effect later; False if the instance does not run."""
        instance = self.instances.get(name)
        if instance is None or not instance.alive:
            return False
        if instance.role == PRIMARY and instance.term == self.newest_term:
            return True
        self.spawn(self._promote_later(instance))
        return True

    async def _promote_later(self, instance: SoakInstance) -> None:
        called_at = time.monotonic()
        self.note(f"promotion of {instance.name} called")
        await asyncio.sleep(self._random.uniform(*self.times.promotion))
        while instance.paused and time.monotonic() < called_at + _LATEST_EFFECT_SECONDS:
            await asyncio.sleep(_POLL_SECONDS)
        leads = instance.role == PRIMARY and instance.term == self.newest_term
        if leads or instance.paused or not instance.alive or instance.control is None:
            self.note(f"promotion of {instance.name} changes nothing")
            return
        self.newest_term += 1
        self.note(f"{instance.name} is to lead {self.newest_term}")
        self._send_situation(instance, lead=self.newest_term)

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine in the background until the group stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- faults ---------------------------------------------------------------------------------

    def crash(self, instance: SoakInstance) -> None:
        """Send SIGKILL to an instance; its entry in the store expires later."""
        assert instance.program is not None
        self.note(f"{instance.name} ({instance.role}) is killed")
        instance.program.kill()
        instance.control = None
        instance.paused = False
        self.on_entry(instance, 0.0)

    def restart(self, instance: SoakInstance) -> None:
        """Start a killed instance again, with its log and without its fence."""
        if instance.program is not None and not instance.alive and not instance.ended:
            self._launch(instance)
            self.spawn(self._publish_when_connected(instance, 0.0))

    async def _publish_when_connected(self, instance: SoakInstance, seconds: float) -> None:
        await self._wait_until_connected(instance)
        self.on_entry(instance, seconds)

    def pause(self, instance: SoakInstance) -> None:
        """Send SIGSTOP to an instance."""
        assert instance.program is not None
        self.note(f"{instance.name} ({instance.role}) is paused")
        instance.paused = True
        instance.program.freeze()
        self.on_entry(instance, 0.0)

    def resume(self, instance: SoakInstance) -> None:
        """Send SIGCONT to a paused instance."""
        if instance.paused and instance.program is not None and instance.alive:
            self.note(f"{instance.name} runs again")
            instance.program.thaw()
            instance.paused = False
            self.on_entry(instance, 0.0)

    def set_deaf(self, instance: SoakInstance, deaf: bool) -> None:
        """Set whether an instance receives nothing from its peers."""
        self.note(f"{instance.name} is {'deaf' if deaf else 'deaf no more'}")
        instance.deaf = deaf
        self._send_situation(instance)

    def set_silent(self, instance: SoakInstance, silent: bool) -> None:
        """Set whether an instance accepts statements and answers none."""
        self.note(f"{instance.name} is {'silent' if silent else 'silent no more'}")
        instance.silent = silent
        self._send_situation(instance)

    def set_cut(self, one: SoakInstance, other: SoakInstance, cut: bool) -> None:
        """Set whether replication between two instances is cut."""
        self.note(f"{one.name} and {other.name} are {'cut' if cut else 'joined again'}")
        for item, far in ((one, other), (other, one)):
            (item.cut.add if cut else item.cut.discard)(far.name)
            self._send_situation(item)

    def set_cut_from_store(self, instance: SoakInstance, cut_from_store: bool) -> None:
        """Set whether an instance is cut from the store; if so, its entry expires later."""
        self.note(f"{instance.name} is {'cut from' if cut_from_store else 'back at'} the store")
        instance.cut_from_store = cut_from_store
        self.on_entry(instance, 0.0)

    # --- releases -------------------------------------------------------------------------------

    async def release(self, old: SoakInstance, hand_over_log: bool) -> None:
        """Let a new instance join, then drain and end an old one.

        With `hand_over_log`, a successor then starts at the old address with a copy of the old log.
        """
        times = self.times
        await self.join()
        await asyncio.sleep(self._random.uniform(*times.before_draining))
        await self.leave(old)
        if not hand_over_log:
            return
        await asyncio.sleep(self._random.uniform(*times.before_successor))
        successor = self._new(old.port)
        shutil.copyfile(old.journal, successor.journal)
        self._launch(successor)
        await self._publish_when_connected(successor, self._random.uniform(*times.entry_follows))

    async def join(self) -> None:
        """Start a new instance; its entry is written a short time after it has connected."""
        new = self._new(free_ports(1)[0])
        self._launch(new)
        await self._publish_when_connected(new, self._random.uniform(*self.times.entry_follows))
        self.note(f"{new.name} has joined")

    async def leave(self, instance: SoakInstance) -> None:
        """Let an instance drain: it serves for a while longer, and then ends for good."""
        self.note(f"{instance.name} ({instance.role}) drains")
        instance.draining = True
        self.on_entry(instance, 0.0)
        bound = time.monotonic() + _DRAIN_LISTED_SECONDS
        while not instance.listed_draining and time.monotonic() < bound:
            await asyncio.sleep(_POLL_SECONDS)
        await asyncio.sleep(self._random.uniform(*self.times.draining))
        self.note(f"{instance.name} ({instance.role}) ends")
        instance.ended = True
        if instance.program is not None and instance.program.running:
            instance.program.kill()
        instance.control = None
        self.on_entry(instance, self._random.uniform(*self.times.entry_follows))
        self.send_situations()
