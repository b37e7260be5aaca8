"""Case 1: a proxy acknowledges commits of a primary that was replaced, while its successor is down.

One proxy is cut off from the primary and has another instance promoted. As soon as it leads, that
instance is partitioned from its replicas, and crashes. It returns some seconds later as the primary
of its term. Meanwhile the other proxy, on which there is no disruption, goes on with the old one.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from support.clients import Writers, Written
from support.common import CODE_BROKEN, CODE_HELD, TROUBLE, CannotRun, Record
from support.deployment import Deployment
from support.instances import Instance
from support.relay import EVERYBODY
from support.running import run_case

CUT_OFF, CALM = "front-1", "front-2"
OLD = "i-a"
# The users' longest cut of a primary from some fronts takes 7 s, and so does a primary's darkness;
# a case may use twice that.
CUT_SECONDS = 7.0
DOWN_SECONDS = 9.0
QUIET_SECONDS = 2.0
AFTER_SECONDS = 3.0
THAW_SLACK_SECONDS = 0.3
# Broken writes that the record shows of each sort.
SHOWN = 5


class Case:
    """The run of the case."""

    def __init__(self, folder: Path, record: Record) -> None:
        self._record = record
        self._system = Deployment(folder, record, {"latest": "primary"})
        self._group = self._system.group
        self._writers = Writers(self._system, record, "latest")
        self._successor: Instance | None = None
        self._crashed = asyncio.Event()

    async def run(self) -> int:
        """Run the case; returns the exit code."""
        try:
            await self._system.start((OLD, "i-b", "i-c"))
            await self._system.add_proxy(CUT_OFF, "zone-a")
            await self._system.add_proxy(CALM, "zone-b")
            for name in (CUT_OFF, CALM):
                self._writers.start(name, 3)
            await asyncio.sleep(QUIET_SECONDS)
            await (self._trouble() if TROUBLE else asyncio.sleep(DOWN_SECONDS))
            await asyncio.sleep(AFTER_SECONDS)
            await self._writers.end()
            await asyncio.sleep(AFTER_SECONDS)
            missing = await self._writers.missing(CALM)
            return self._verdict(missing)
        finally:
            self._system.stop()

    async def _trouble(self) -> None:
        loop = asyncio.get_running_loop()
        self._group.on_role = self._role_changed
        old = self._group.instances[OLD]
        self._record.write(f"TROUBLE {CUT_OFF} is cut off from the primary {OLD}")
        old.relay.cut = {CUT_OFF}
        end_of_cut = loop.time() + CUT_SECONDS
        try:
            async with asyncio.timeout(CUT_SECONDS):
                await self._crashed.wait()
        except TimeoutError as error:
            raise CannotRun("no promotion took effect") from error
        returns_at = loop.time() + DOWN_SECONDS
        await asyncio.sleep(max(end_of_cut - loop.time(), 0))
        self._record.write(f"TROUBLE {CUT_OFF} reaches {OLD} again")
        old.relay.cut = set()
        await asyncio.sleep(returns_at - loop.time())
        await self._bring_back()

    def _role_changed(self, instance: Instance) -> None:
        """As soon as it leads, the new primary is cut off from its replicas, and crashes."""
        leads = instance.name != OLD and instance.role == "primary"
        if leads and not self._crashed.is_set():
            self._successor = instance
            self._group.part([instance.name], True)
            self._record.write(f"TROUBLE {instance.name} crashes and is dark")
            instance.relay.cut = {EVERYBODY}
            self._group.crash(instance)
            self._crashed.set()

    async def _bring_back(self) -> None:
        successor = self._successor
        assert successor is not None
        self._record.write(f"TROUBLE {successor.name} returns with its log")
        self._group.launch(successor)
        await self._group.connected(successor)
        successor.relay.cut = set()
        self._group.part([successor.name], False)

    def _verdict(self, missing: list[Written]) -> int:
        promotion = self._group.first_promotion()
        since = promotion.at + THAW_SLACK_SECONDS if promotion is not None else 0.0
        late = self._writers.committed_by_replaced(self._group.instances[OLD], CALM, since)
        for item in late[:SHOWN]:
            self._record.write(
                f"BROKEN ONE {item.answer.request_id} WRITE {item.thing} {item.data}: committed by "
                f"{OLD} after its successor led, acknowledged via {item.proxy}",
                item.answer.at,
            )
        for item in missing[:SHOWN]:
            self._record.write(
                f"BROKEN lost {item.answer.request_id} WRITE {item.thing} {item.data}: "
                f"acknowledged via {item.proxy}, and not there at the end",
                item.answer.at,
            )
        self._record.write(
            f"{len(self._writers.acknowledged)} of {len(self._writers.written)} writes "
            f"acknowledged, {len(late)} of them committed by the replaced primary, "
            f"{len(missing)} missing at the end"
        )
        return CODE_BROKEN if late else CODE_HELD


if __name__ == "__main__":
    sys.exit(run_case(__file__, Case))
