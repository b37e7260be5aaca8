"""Metrics of one proxy, in Prometheus' text format on `/metrics`.

Owns the names and labels, which dashboards rely on; docs/OPERATIONS.md explains each metric.
"""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from orchidwind.elected.core.statements import Outcome, RequestKind
from orchidwind.shared.core.errors import RequestError

# Seconds: from a read on a nearby replica to the longest deadlines.
_LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
_TARGET_NAMES = {True: "replica", False: "primary"}


class Gauges:
    """Gauges that are set when the metrics are requested or their value changes."""

    def __init__(self, registry: CollectorRegistry) -> None:
        def gauge(name: str, text: str) -> Gauge:
            return Gauge(name, text, registry=registry)

        self.callers = gauge("orchidwind_callers", "Callers' connections")
        self.members = gauge("orchidwind_members", "Proxies usable for roles")
        self.homes = gauge("orchidwind_homes", "Databases that this proxy is home of")
        self.configuration_version = gauge(
            "orchidwind_configuration_version", "Version of the configuration in force"
        )
        self.watching = gauge(
            "orchidwind_platform_watch", "1 while this proxy watches the platform"
        )
        self.gossip_bytes = gauge(
            "orchidwind_gossip_bytes", "Bytes of membership datagrams, both ways"
        )
        self.suspicions = gauge(
            "orchidwind_suspicions", "Members that this proxy has suspected since its start"
        )


class Metrics:
    """All metrics of the process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._requests = self._counter(
            "orchidwind_requests", "Requests finished, by kind and result", "kind", "result"
        )
        self._reads = self._counter(
            "orchidwind_reads",
            "Reads answered, by where they ran and by traffic class",
            "target",
            "traffic_class",
        )
        seconds = Histogram(
            "orchidwind_request_seconds",
            "Time from a statement's arrival to its outcome",
            ["kind"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._errors = self._counter("orchidwind_errors", "Errors sent to callers, by kind", "kind")
        self.gauges = Gauges(self.registry)
        # Counters by their labels, since a lookup in the registry takes a lock for each request.
        self._request_counters: dict[tuple[str, str], Counter] = {}
        self._read_counters: dict[tuple[bool, str], Counter] = {}
        self._latencies = {kind: seconds.labels(kind.value) for kind in RequestKind}

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def finished(
        self, kind: RequestKind, traffic_class: str, outcome: Outcome, seconds: float
    ) -> None:
        """Record a finished request and its duration in seconds."""
        result = "ok" if outcome.error is None else outcome.error.kind.value
        key = (kind.value, result)
        request_counter = self._request_counters.get(key)
        if request_counter is None:
            request_counter = self._request_counters[key] = self._requests.labels(*key)
        request_counter.inc()
        self._latencies[kind].observe(seconds)
        if kind is RequestKind.READ and outcome.error is None and outcome.instance:
            self._count_read(outcome.is_replica, traffic_class)

    def _count_read(self, is_replica: bool, traffic_class: str) -> None:
        key = (is_replica, traffic_class)
        target = self._read_counters.get(key)
        if target is None:
            name = _TARGET_NAMES[is_replica]
            target = self._read_counters[key] = self._reads.labels(name, traffic_class)
        target.inc()

    def error_answered(self, error: RequestError) -> None:
        """Count an error that was sent to a caller."""
        self._errors.labels(error.kind.value).inc()

    def render(self) -> bytes:
        """Return the text of `/metrics`."""
        return generate_latest(self.registry)
