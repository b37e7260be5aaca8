"""Figures of a proxy of promoted groups, in Prometheus' text form.

For: all drivers of this half, which count by the methods of `ProxyMetrics`. Owns the names and
labels of the figures: dashboards read them, so they do not change. docs/OPERATIONS.md says what is
normal.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from orchidwind.promoted.core.commands import CommandKind
from orchidwind.shared.core.errors import ErrorKind
from orchidwind.shared.silence import SilentConnection, log_silent_connection

# Bounds of the times of requests, seconds. From one round trip to the longest time-out,
# each about twice the one before.
_LATENCY_BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
# Tenants with figures of their own at most: a bound of the page's length.
_TENANTS_SHOWN = 20
# The label of all others together. No tenant has it: names are without blanks.
_OTHER_TENANTS = "all others"


class _Figures:
    """Makes figures in one registry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry

    def counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self._registry)

    def gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(name, text, labels, registry=self._registry)

    def histogram(self, name: str, text: str, *labels: str) -> Histogram:
        return Histogram(name, text, labels, buckets=_LATENCY_BUCKETS, registry=self._registry)


class _CallerFigures:
    """What callers asked for and how it ended."""

    def __init__(self, make: _Figures) -> None:
        self.requests = make.counter(
            "orchidwind_requests",
            "Commands finished, by consistency, kind and result",
            "consistency",
            "command",
            "result",
        )
        self.seconds = make.histogram(
            "orchidwind_request_seconds",
            "Time from a command's arrival to its answer, by consistency",
            "consistency",
        )
        self.forwarded = make.counter(
            "orchidwind_forwarded_commands", "Commands sent to homes, by outcome", "outcome"
        )
        self.sessions = make.gauge("orchidwind_callers", "Callers' sessions")


class _InstanceFigures:
    """What was sent to instances, and which changes of primary were tried."""

    def __init__(self, make: _Figures) -> None:
        self.failovers = make.counter(
            "orchidwind_failovers",
            "Changes of primary that this proxy tried, by reason and outcome",
            "reason",
            "outcome",
        )
        self.messages = make.counter(
            "orchidwind_instance_messages",
            "Messages to instances, by kind; status and control calls are kinds of their own",
            "kind",
        )
        self.attempts = make.counter(
            "orchidwind_instance_attempts",
            "Attempts answered by instances, by what was asked for, role of the instance, answer",
            "asked",
            "role",
            "answer",
        )
        self.silent = make.counter(
            "orchidwind_silent_connections",
            "Open connections that were found silent, by what they were for",
            "connection",
        )


class _ViewFigures:
    """What is followed from the store and from other proxies."""

    def __init__(self, make: _Figures) -> None:
        self.store_calls = make.counter(
            "orchidwind_store_calls",
            "Calls to the platform's store, by method and kind of object",
            "method",
            "kind",
        )
        self.reports = make.counter(
            "orchidwind_view_reports",
            "Answers to other proxies about a followed view: confirmed, or with its content",
            "view",
            "told",
        )
        self.items = make.counter(
            "orchidwind_view_items_told",
            "Items of a followed view in the answers to other proxies",
            "view",
        )
        self.configuration_version = make.gauge(
            "orchidwind_configuration_version", "Version of the configuration in force"
        )
        self.store_era = make.gauge(
            "orchidwind_store_era", "How often the store has come back from an older copy of itself"
        )
        self.store_returns = make.gauge(
            "orchidwind_store_returns", "Of these, how many this process has seen"
        )
        self.age = make.gauge(
            "orchidwind_view_age_seconds",
            "Time since a followed view was last known to be current",
            "view",
        )


class TenantOperations(Protocol):
    """What became of one tenant's operations."""

    passed: int
    refused: int


class _TenantFigures(Collector):
    """The operations of the tenants that ask most, and of all others together."""

    def __init__(self, use: Callable[[], Mapping[str, TenantOperations]]) -> None:
        self._use = use

    def collect(self) -> Iterator[CounterMetricFamily]:
        family = CounterMetricFamily(
            "orchidwind_tenant_operations",
            "Operations counted here against the quotas of tenants, by tenant and result",
            labels=("tenant", "result"),
        )
        by_size = sorted(self._use().items(), key=lambda item: -item[1].passed - item[1].refused)
        for name, use in by_size[:_TENANTS_SHOWN]:
            family.add_metric((name, "passed"), use.passed)
            family.add_metric((name, "refused"), use.refused)
        others = [use for _, use in by_size[_TENANTS_SHOWN:]]
        if others:
            family.add_metric((_OTHER_TENANTS, "passed"), sum(use.passed for use in others))
            family.add_metric((_OTHER_TENANTS, "refused"), sum(use.refused for use in others))
        yield family


class ProxyMetrics:
    """All figures; one object a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        make = _Figures(self.registry)
        self._callers = _CallerFigures(make)
        self._instances = _InstanceFigures(make)
        self._views = _ViewFigures(make)
        self.sessions = self._callers.sessions
        self.configuration_version = self._views.configuration_version

    def store_era(self, era: Callable[[], float], returns: Callable[[], float]) -> None:
        """The store's era and its returns, asked for whenever the figures are read."""
        self._views.store_era.set_function(era)
        self._views.store_returns.set_function(returns)

    def tenant_operations(self, use: Callable[[], Mapping[str, TenantOperations]]) -> None:
        """What became of the tenants' operations, asked for whenever the figures are read."""
        self.registry.register(_TenantFigures(use))

    def watch_age(self, view: str, seconds: Callable[[], float]) -> None:
        """The age of a view, asked for whenever the figures are read."""
        self._views.age.labels(view).set_function(seconds)

    def finished(
        self, consistency: str, command: CommandKind, error: ErrorKind | None, seconds: float
    ) -> None:
        """A command ended."""
        result = "ok" if error is None else error.value
        self._callers.requests.labels(consistency, command.value, result).inc()
        self._callers.seconds.labels(consistency).observe(seconds)

    def failover(self, reason: str, outcome: str) -> None:
        """A change of primary ended."""
        self._instances.failovers.labels(reason, outcome).inc()

    def message(self, kind: str) -> None:
        """A message went to an instance."""
        self._instances.messages.labels(kind).inc()

    def attempt(self, asked: str, role: str, answer: str) -> None:
        """An instance answered an attempt."""
        self._instances.attempts.labels(asked, role, answer).inc()

    def store_call(self, method: str, kind: str) -> None:
        """A call to the store was made."""
        self._views.store_calls.labels(method, kind).inc()

    def view_reported(self, view: str, content: str, items: int) -> None:
        """A view was reported to another proxy, with so many items."""
        self._views.reports.labels(view, content).inc()
        self._views.items.labels(view).inc(items)

    def forwarded(self, outcome: str) -> None:
        """A command that was sent to a home has ended."""
        self._callers.forwarded.labels(outcome).inc()

    def silent(self, found: SilentConnection) -> None:
        """An open connection was found silent: it is logged and counted."""
        log_silent_connection(found)
        self._instances.silent.labels(found.kind.value).inc()

    def silent_counts(self) -> dict[str, int]:
        """Connections found silent so far, by kind."""
        return _counts(self._instances.silent)

    def message_counts(self) -> dict[str, int]:
        """Messages so far, by kind."""
        return _counts(self._instances.messages)

    def attempt_counts(self) -> dict[str, int]:
        """Attempts so far, by what was asked for, role of the instance, and answer."""
        return _counts(self._instances.attempts)

    def store_call_counts(self) -> dict[str, int]:
        """Calls to the store so far, by method and kind."""
        return _counts(self._views.store_calls)

    def view_report_counts(self) -> dict[str, int]:
        """Reports to other proxies so far, by view and form, and the items they held."""
        items = {f"{view}_items": count for view, count in _counts(self._views.items).items()}
        return _counts(self._views.reports) | items

    def render(self) -> bytes:
        """The text form."""
        return generate_latest(self.registry)


def _counts(counter: Counter) -> dict[str, int]:
    return {
        "_".join(sample.labels.values()).replace("-", "_"): int(sample.value)
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }
