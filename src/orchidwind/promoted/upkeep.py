"""What a proxy repeats while it runs: it frees connections, forgets instances, logs figures.

For: `proxy_runtime`, which runs each in the background. Owns how often; what is freed or forgotten,
the groups decide.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.shared.logs import log_event

# How often connections that were not used lately are closed, seconds. Proxies that are back
# from a loss of power find room at the instances within the time that their callers wait.
_TRIM_SECONDS = 1.5
# How often it is checked which instances left long ago, seconds. Nothing waits for it but
# memory, and each check that is due asks the instances for their status.
_FORGET_SECONDS = 5.0
# How often figures are logged, seconds. Six lines each time, and two changes of primary
# are seldom so near to one another.
_FIGURES_SECONDS = 10.0


class Upkeep:
    """The repeated work of one proxy; each method runs until it is cancelled."""

    def __init__(
        self,
        groups: Mapping[str, GroupService],
        metrics: ProxyMetrics,
        views: Callable[[], Mapping[str, Any]],
    ) -> None:
        """`views` tells of each followed view who showed last that it is current."""
        self._groups = groups
        self._metrics = metrics
        self._views = views

    async def trim_connections(self) -> None:
        """Close connections that were not used lately."""
        while True:
            await asyncio.sleep(_TRIM_SECONDS)
            for group in self._groups.values():
                group.trim()

    async def forget_old_instances(self) -> None:
        """Forget instances that left long ago, once others have their logs."""
        while True:
            await asyncio.sleep(_FORGET_SECONDS)
            for group in self._groups.values():
                await group.forget_departed()

    async def log_figures(self) -> None:
        """Log what was counted so far."""
        while True:
            await asyncio.sleep(_FIGURES_SECONDS)
            log_event("figures", **self._metrics.message_counts())
            log_event("attempts", **self._metrics.attempt_counts())
            log_event("store_calls", **self._metrics.store_call_counts())
            log_event("views", **self._views())
            log_event("views_reported", **self._metrics.view_report_counts())
            log_event("silent_connections", **self._metrics.silent_counts())
