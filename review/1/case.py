"""Case 1: a proxy acknowledges commits of a primary that was replaced, while its successor is down.

One proxy is cut off from the primary and has another instance promoted. The new primary leads, is
partitioned from its replicas, and crashes at once. It returns some seconds later as the primary of
its term. Meanwhile the other proxy, on which there is no disruption, goes on with the old primary.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from support import (  # noqa: E402
    EVERYBODY,
    TROUBLE,
    CannotRun,
    Deployment,
    Instance,
    Record,
    Writers,
    run_case,
)

CUT_OFF, CALM = "front-1", "front-2"
OLD = "i-a"
# The users' longest cut of a primary from some fronts takes 7 s, and so does a primary's darkness;
# a case may use twice that.
CUT_SECONDS = 7.0
DOWN_SECONDS = 9.0
QUIET_SECONDS = 2.0
AFTER_SECONDS = 3.0
THAW_SLACK_SECONDS = 0.3


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
        self._group.on_promotion = self._promotion_called
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

    def _promotion_called(self, instance: Instance) -> None:
        """The primary to be is partitioned from the other instances, as by `primary_cut`."""
        if self._successor is None:
            self._successor = instance
            self._group.part([instance.name], True)

    def _role_changed(self, instance: Instance) -> None:
        """The new primary crashes as soon as it leads, and is dark."""
        leads = instance is self._successor and instance.role == "primary" and instance.alive
        if leads and not self._crashed.is_set():
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

    def _verdict(self, missing: list) -> int:
        old = self._group.instances[OLD]
        promotions = [item for item in self._group.led if item[2] > 1]
        since = promotions[0][0] + THAW_SLACK_SECONDS if promotions else 0.0
        late = self._writers.committed_by_replaced(old, CALM, since)
        return self._writers.report(old, late, missing)


if __name__ == "__main__":
    sys.exit(run_case(__file__, Case))
