"""Metrics of a proxy for promoted groups, in the Prometheus text format.

For: all drivers of promoted groups, which record through the methods of `ProxyMetrics`. Owns the
names and labels of the metrics: dashboards read them, so they must not change. docs/OPERATIONS.md
lists the normal values.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Protocol

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from orchidwind.promoted.core.commands import CommandKind
from orchidwind.promoted.core.distances import Regions
from orchidwind.promoted.traffic import Traffic
from orchidwind.shared.core.errors import ErrorKind
from orchidwind.shared.silence import SilentConnection, log_silent_connection

# Histogram buckets of request latency, seconds. They range from one round trip to the longest
# timeout, each about twice the one before.
_LATENCY_BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
# How many tenants get label values of their own at most. It bounds the size of the metrics page.
_MAX_TENANT_LABELS = 20
# The label value of all other tenants together. No tenant has this name: names have no blanks.
_OTHER_TENANTS = "all others"


class _MetricFactory:
    """Creates metrics in one registry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry

    def counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self._registry)

    def gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(name, text, labels, registry=self._registry)

    def histogram(self, name: str, text: str, *labels: str) -> Histogram:
        return Histogram(name, text, labels, buckets=_LATENCY_BUCKETS, registry=self._registry)


class _CallerMetrics:
    """Metrics of the commands and sessions of callers."""

    def __init__(self, factory: _MetricFactory) -> None:
        self.requests = factory.counter(
            "orchidwind_requests",
            "Commands finished, by consistency, kind and result",
            "consistency",
            "command",
            "result",
        )
        self.seconds = factory.histogram(
            "orchidwind_request_seconds",
            "Time from a command's arrival to its answer, by consistency",
            "consistency",
        )
        self.forwarded = factory.counter(
            "orchidwind_forwarded_commands",
            "Commands forwarded to home proxies, by outcome",
            "outcome",
        )
        self.rerouted = factory.counter(
            "orchidwind_rerouted_commands",
            "Commands that a home refused and that were sent to another one, by reason",
            "reason",
        )
        self.room_queries = factory.counter(
            "orchidwind_room_queries",
            "Reports of high demand to other homes, by whether these lent room at an instance",
            "outcome",
        )
        self.sessions = factory.gauge("orchidwind_callers", "Open sessions of callers")


class _InstanceMetrics:
    """Metrics of messages to instances, connections to them, and changes of primary."""

    def __init__(self, factory: _MetricFactory) -> None:
        self.failovers = factory.counter(
            "orchidwind_failovers",
            "Changes of primary attempted by this proxy, by reason and outcome",
            "reason",
            "outcome",
        )
        self.messages = factory.counter(
            "orchidwind_instance_messages",
            "Messages sent to instances, by kind; status and control calls have kinds of their own",
            "kind",
        )
        self.attempts = factory.counter(
            "orchidwind_instance_attempts",
            "Attempts answered by instances, by request, role of the instance and answer",
            "asked",
            "role",
            "answer",
        )
        self.refused = factory.counter(
            "orchidwind_refused_requests",
            "Requests for a connection to an instance that its queue refused, by reason",
            "reason",
        )
        self.silent = factory.counter(
            "orchidwind_silent_connections",
            "Open connections found to be silent, by purpose of the connection",
            "connection",
        )


class _ViewMetrics:
    """Metrics of the views that are followed from the store and from other proxies."""

    def __init__(self, factory: _MetricFactory) -> None:
        self.store_calls = factory.counter(
            "orchidwind_store_calls",
            "Calls to the store, by method and kind of object",
            "method",
            "kind",
        )
        self.reports = factory.counter(
            "orchidwind_view_reports",
            "Reports of a view to other proxies, by view and by whether they carried its content",
            "view",
            "told",
        )
        self.items = factory.counter(
            "orchidwind_view_items_told",
            "Items of a view in the reports to other proxies, by view",
            "view",
        )
        self.configuration_version = factory.gauge(
            "orchidwind_configuration_version", "Version of the configuration in force"
        )
        self.store_era = factory.gauge(
            "orchidwind_store_era", "How often the store was restored from an older copy"
        )
        self.store_returns = factory.gauge(
            "orchidwind_store_returns", "Restores of the store that this process has seen"
        )
        self.age = factory.gauge(
            "orchidwind_view_age_seconds",
            "Time since a view was last known to be current, by view",
            "view",
        )


class TenantOperations(Protocol):
    """How many operations of one tenant were admitted and refused.

    `refused`: beyond its quota. `unavailable`: not all of the quota was in force. `waited`: those
    of the passed ones that had waited for a token for that reason.
    """

    passed: int
    refused: int
    unavailable: int
    waited: int


class _TenantMetrics(Collector):
    """The operations of the busiest tenants, and of all others together."""

    def __init__(self, use: Callable[[], Mapping[str, TenantOperations]]) -> None:
        self._use = use

    def collect(self) -> Iterator[CounterMetricFamily]:
        family = CounterMetricFamily(
            "orchidwind_tenant_operations",
            "Operations counted by this proxy against tenants' quotas, by tenant and result",
            labels=("tenant", "result"),
        )
        busiest_first = sorted(self._use().items(), key=lambda item: -_asked(item[1]))
        for name, use in busiest_first[:_MAX_TENANT_LABELS]:
            self._add(family, name, [use])
        others = [use for _, use in busiest_first[_MAX_TENANT_LABELS:]]
        if others:
            self._add(family, _OTHER_TENANTS, others)
        yield family

    def _add(
        self, family: CounterMetricFamily, label: str, uses: Collection[TenantOperations]
    ) -> None:
        family.add_metric((label, "passed"), sum(use.passed for use in uses))
        family.add_metric((label, "refused"), sum(use.refused for use in uses))
        family.add_metric((label, "unavailable"), sum(use.unavailable for use in uses))
        family.add_metric((label, "waited"), sum(use.waited for use in uses))


def _asked(use: TenantOperations) -> int:
    return use.passed + use.refused + use.unavailable


class _SecondsWithoutShare(Collector):
    """For how long no share of the quotas was in force here or at a reachable proxy."""

    def __init__(self, seconds: Callable[[], float]) -> None:
        self._seconds = seconds

    def collect(self) -> Iterator[CounterMetricFamily]:
        yield CounterMetricFamily(
            "orchidwind_seconds_without_quota_share",
            "Seconds in which no share of the quotas was in force here or at a reachable proxy",
            value=self._seconds(),
        )


class _TrafficMetrics(Collector):
    """What was exchanged with instances and other proxies, by region and zone of the other side."""

    def __init__(self, traffic: Traffic, regions: Regions) -> None:
        self._traffic = traffic
        self._regions = regions

    def collect(self) -> Iterator[CounterMetricFamily]:
        other = ("counterpart", "region", "zone")
        bytes_family = CounterMetricFamily(
            "orchidwind_traffic_bytes",
            "Bytes exchanged with instances and other proxies, by kind, region, zone and direction",
            labels=(*other, "direction"),
        )
        messages_family = CounterMetricFamily(
            "orchidwind_traffic_messages",
            "Messages sent to instances and other proxies, by kind, region and zone",
            labels=other,
        )
        for key, counts in list(self._traffic.counts.items()):
            labels = (key.counterpart.value, self._regions.table.get(key.zone, ""), key.zone)
            bytes_family.add_metric((*labels, "sent"), counts.sent_bytes)
            bytes_family.add_metric((*labels, "received"), counts.received_bytes)
            messages_family.add_metric(labels, counts.sent_messages)
        yield bytes_family
        yield messages_family


class ProxyMetrics:
    """All metrics of a proxy; one object for each process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        factory = _MetricFactory(self.registry)
        self._callers = _CallerMetrics(factory)
        self._instances = _InstanceMetrics(factory)
        self._views = _ViewMetrics(factory)
        self.sessions = self._callers.sessions
        self.configuration_version = self._views.configuration_version

    def store_era(self, era: Callable[[], float], returns: Callable[[], float]) -> None:
        """Register the functions that return the store era and the number of restores seen."""
        self._views.store_era.set_function(era)
        self._views.store_returns.set_function(returns)

    def tenant_operations(self, use: Callable[[], Mapping[str, TenantOperations]]) -> None:
        """Register the function that returns the counts of the tenants' operations."""
        self.registry.register(_TenantMetrics(use))

    def seconds_without_quota_share(self, seconds: Callable[[], float]) -> None:
        """Register the function that returns for how long no share of the quotas was in force."""
        self.registry.register(_SecondsWithoutShare(seconds))

    def traffic(self, traffic: Traffic, regions: Regions) -> None:
        """Register the counts of what is exchanged with instances and other proxies."""
        self.registry.register(_TrafficMetrics(traffic, regions))

    def watch_age(self, view: str, seconds: Callable[[], float]) -> None:
        """Register the function that returns the age of a view in seconds."""
        self._views.age.labels(view).set_function(seconds)

    def finished(
        self, consistency: str, command: CommandKind, error: ErrorKind | None, seconds: float
    ) -> None:
        """Count a command that has ended, and record its latency."""
        result = "ok" if error is None else error.value
        self._callers.requests.labels(consistency, command.value, result).inc()
        self._callers.seconds.labels(consistency).observe(seconds)

    def failover(self, reason: str, outcome: str) -> None:
        """Count a change of primary that has ended."""
        self._instances.failovers.labels(reason, outcome).inc()

    def message(self, kind: str) -> None:
        """Count a message that was sent to an instance."""
        self._instances.messages.labels(kind).inc()

    def attempt(self, asked: str, role: str, answer: str) -> None:
        """Count an attempt that an instance answered."""
        self._instances.attempts.labels(asked, role, answer).inc()

    def store_call(self, method: str, kind: str) -> None:
        """Count a call to the store."""
        self._views.store_calls.labels(method, kind).inc()

    def view_reported(self, view: str, content: str, items: int) -> None:
        """Count a report of a view to another proxy, and the items in it."""
        self._views.reports.labels(view, content).inc()
        self._views.items.labels(view).inc(items)

    def forwarded(self, outcome: str) -> None:
        """Count a command that was forwarded to a home proxy and has ended."""
        self._callers.forwarded.labels(outcome).inc()

    def refused(self, reason: str) -> None:
        """Count a request that the queue of an instance refused."""
        self._instances.refused.labels(reason).inc()

    def rerouted(self, reason: str) -> None:
        """Count a command that a home refused and that is sent to another one."""
        self._callers.rerouted.labels(reason).inc()

    def room_query(self, outcome: str) -> None:
        """Count a report of high demand to another home, by its outcome."""
        self._callers.room_queries.labels(outcome).inc()

    def silent(self, found: SilentConnection) -> None:
        """Log and count an open connection that was found silent."""
        log_silent_connection(found)
        self._instances.silent.labels(found.kind.value).inc()

    def silent_counts(self) -> dict[str, int]:
        """The number of connections found silent so far, by kind."""
        return _counts(self._instances.silent)

    def message_counts(self) -> dict[str, int]:
        """The number of messages to instances so far, by kind."""
        return _counts(self._instances.messages)

    def attempt_counts(self) -> dict[str, int]:
        """The number of attempts so far, by request, role of the instance and answer."""
        return _counts(self._instances.attempts)

    def store_call_counts(self) -> dict[str, int]:
        """The number of calls to the store so far, by method and kind of object."""
        return _counts(self._views.store_calls)

    def view_report_counts(self) -> dict[str, int]:
        """The number of reports of views so far, by view and content, and of the items in them."""
        items = {f"{view}_items": count for view, count in _counts(self._views.items).items()}
        return _counts(self._views.reports) | items

    def render(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def _counts(counter: Counter) -> dict[str, int]:
    return {
        "_".join(sample.labels.values()).replace("-", "_"): int(sample.value)
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }
