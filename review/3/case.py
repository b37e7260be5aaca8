"""Case 3: a proxy without the store reads from a replaced primary, on the word of one replica.

A proxy is cut off from the store. Meanwhile another proxy is added, the primary drains, and the
added proxy demotes it and has a new primary promoted. The old primary and one more replica receive
nothing for a while. The added proxy lifts that replica's fence, as the old primary leads no longer.
The first proxy takes the replica's status as proof that it still does, and reads there.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

from support.clients import Answer, Session
from support.common import CODE_BROKEN, CODE_HELD, TROUBLE, CannotRun, Record
from support.deployment import Deployment
from support.relay import EVERYBODY
from support.running import run_case

ALONE, ADDED = "front-3", "front-1"
OLD, DEAF = "i-a", "i-c"
# Cuts from the store take up to 5.5 s (`core_cut`), and replicas receive nothing for up to 6.5 s
# (`replica_lag`); a case may use twice that.
CUT_SECONDS = 11.0
QUIET_SECONDS = 2.0
AFTER_SECONDS = 2.0
THING = "level"
NOTHING = -1


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A write that was acknowledged: its number, and when."""

    number: int
    at: float


class Case:
    """The run of the case."""

    def __init__(self, folder: Path, record: Record) -> None:
        self._record = record
        self._system = Deployment(folder, record, {"latest": "primary"})
        self._group = self._system.group
        self._acknowledged: list[Acknowledged] = []
        self._reads: list[tuple[str, Answer]] = []
        self._stop = False

    async def run(self) -> int:
        """Run the case; returns the exit code."""
        try:
            await self._system.start((OLD, "i-b", DEAF))
            await self._system.add_proxy(ALONE, "zone-c")
            reader = asyncio.ensure_future(self._read(ALONE))
            first = await Session(self._system.proxies[ALONE], "latest", self._record).ask(
                f"WRITE {THING} 0"
            )
            if first is None or first.code != "OK":
                raise CannotRun("the first write was not acknowledged")
            self._acknowledged.append(Acknowledged(0, first.at))
            await asyncio.sleep(QUIET_SECONDS)
            if TROUBLE:
                self._record.write(f"TROUBLE {ALONE} is cut off from the store")
                self._system.store_relays[ALONE].cut = {EVERYBODY}
            end_of_cut = asyncio.get_running_loop().time() + CUT_SECONDS
            # Added now, so that the proxy that is cut off from the others does not know of it.
            await self._system.add_proxy(ADDED, "zone-a")
            writer = asyncio.ensure_future(self._write())
            await self._release(end_of_cut)
            if TROUBLE:
                self._record.write(f"TROUBLE {ALONE} reaches the store again")
                self._system.store_relays[ALONE].cut = set()
                self._set_deaf(False)
            await asyncio.sleep(AFTER_SECONDS)
            self._stop = True
            await asyncio.gather(reader, writer)
            return self._verdict()
        finally:
            self._system.stop()

    async def _release(self, end: float) -> None:
        """The primary is replaced: a new instance starts first, then the primary drains."""
        await self._group.add("i-d", "zone-a")
        self._group.tell_all()
        await asyncio.sleep(0.5)
        if TROUBLE:
            self._group.on_promotion = lambda _: self._set_deaf(True)
        self._record.write(f"{OLD} drains")
        self._group.instances[OLD].draining = True
        await asyncio.sleep(max(end - asyncio.get_running_loop().time(), 0))

    def _set_deaf(self, deaf: bool) -> None:
        """Let the old primary, a replica by now, and one more replica receive nothing, or again."""
        self._record.write(f"TROUBLE {OLD}, {DEAF} receive {'nothing' if deaf else 'again'}")
        for name in (OLD, DEAF):
            self._group.set_deaf(self._group.instances[name], deaf)

    async def _write(self) -> None:
        """Write once the change of primary is over: a statement may pass through another proxy."""
        session = Session(self._system.proxies[ADDED], "latest", self._record)
        number = 0
        while not self._stop and self._group.first_promotion() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        while not self._stop:
            number += 1
            answer = await session.ask(f"WRITE {THING} {number}")
            if answer is not None and answer.code == "OK":
                self._acknowledged.append(Acknowledged(number, answer.at))
            await asyncio.sleep(0.05)
        session.close()

    async def _read(self, proxy: str) -> None:
        session = Session(self._system.proxies[proxy], "latest", self._record)
        while not self._stop:
            answer = await session.ask(f"READ {THING}")
            if answer is not None and answer.code == "OK":
                self._reads.append((proxy, answer))
            await asyncio.sleep(0.05)
        session.close()

    def _verdict(self) -> int:
        stale = []
        for proxy, answer in self._reads:
            before = [item.number for item in self._acknowledged if item.at < answer.sent_at]
            due = max(before, default=NOTHING)
            # Before the first write, the stand-in's row for the thing is "none".
            shown = int(answer.rows[0]) if answer.rows != ("none",) else NOTHING
            if shown < due:
                stale.append((proxy, answer, shown, due))
        if self._group.first_promotion() is None:
            raise CannotRun("no promotion took effect")
        for proxy, answer, shown, due in stale[:10]:
            self._record.write(
                f"BROKEN STALE {answer.request_id} READ {THING} via {proxy}/latest, sent "
                f"{self._record.seconds(answer.sent_at):.3f}: {shown}, though {due} was "
                "acknowledged before",
                answer.at,
            )
        self._record.write(
            f"{len(self._acknowledged)} writes acknowledged, {len(stale)} of {len(self._reads)} "
            "reads stale"
        )
        return CODE_BROKEN if stale else CODE_HELD


if __name__ == "__main__":
    sys.exit(run_case(__file__, Case))
