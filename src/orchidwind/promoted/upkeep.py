"""Periodic maintenance of a proxy: closing idle connections, forgetting instances, logging metrics.

For: `proxy_runtime`, which runs each method as a background task. Owns the intervals. The groups
decide which connections to close and which instances to forget.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.shared.logs import log_event

# Interval at which connections that were not used lately are closed, seconds. Proxies that restart
# after a power failure then find free connections at the instances while their callers still wait.
_TRIM_SECONDS = 1.5
# Interval at which instances that left long ago are looked for, seconds. A later check only costs
# memory, and each check that finds one asks the instances of its group for their status.
_FORGET_SECONDS = 5.0
# Interval at which metrics are logged, seconds. Each time takes six lines, and two changes of
# primary are rarely closer together than this.
_LOG_METRICS_SECONDS = 10.0


class Upkeep:
    """Periodic maintenance of one proxy; each method runs until it is cancelled."""

    def __init__(
        self,
        groups: Mapping[str, GroupService],
        metrics: ProxyMetrics,
        views: Callable[[], Mapping[str, Any]],
    ) -> None:
        """`views` returns for each followed view its state and what last confirmed it."""
        self._groups = groups
        self._metrics = metrics
        self._views = views

    async def trim_connections(self) -> None:
        """Close connections that were not used lately, in all groups."""
        while True:
            await asyncio.sleep(_TRIM_SECONDS)
            for group in self._groups.values():
                group.trim()

    async def forget_old_instances(self) -> None:
        """Forget instances that left long ago, once other instances have their logs."""
        while True:
            await asyncio.sleep(_FORGET_SECONDS)
            for group in self._groups.values():
                await group.forget_departed()

    async def log_metrics(self) -> None:
        """Log the counters as they stand."""
        while True:
            await asyncio.sleep(_LOG_METRICS_SECONDS)
            log_event("figures", **self._metrics.message_counts())
            log_event("attempts", **self._metrics.attempt_counts())
            log_event("store_calls", **self._metrics.store_call_counts())
            log_event("views", **self._views())
            log_event("views_reported", **self._metrics.view_report_counts())
            log_event("silent_connections", **self._metrics.silent_counts())
