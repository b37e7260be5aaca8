"""Figures of a proxy of promoted groups, in Prometheus' text form."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from orchidwind.promoted.core.commands import CommandKind
from orchidwind.shared.core.errors import ErrorKind
from orchidwind.shared.silence import SilentConnection, log_silent

_LATENCY_BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class ProxyMetrics:
    """All figures; one object a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "orchidwind_requests",
            "Commands finished, by consistency, kind and result",
            ["consistency", "command", "result"],
            registry=self.registry,
        )
        self._seconds = Histogram(
            "orchidwind_request_seconds",
            "Time from a command's arrival to its answer, by consistency",
            ["consistency"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._failovers = Counter(
            "orchidwind_failovers",
            "Changes of primary that this proxy tried, by reason and outcome",
            ["reason", "outcome"],
            registry=self.registry,
        )
        self._messages = Counter(
            "orchidwind_instance_messages",
            "Messages to instances, by kind; status and control calls are kinds of their own",
            ["kind"],
            registry=self.registry,
        )
        self._attempts = Counter(
            "orchidwind_instance_attempts",
            "Attempts answered by instances, by what was asked for, role of the instance, answer",
            ["asked", "role", "answer"],
            registry=self.registry,
        )
        self._store_calls = Counter(
            "orchidwind_store_calls",
            "Calls to the platform's store, by method and kind of object",
            ["method", "kind"],
            registry=self.registry,
        )
        self._view_reports = Counter(
            "orchidwind_view_reports",
            "Answers to other proxies about a followed view: confirmed, or with its content",
            ["view", "told"],
            registry=self.registry,
        )
        self._view_items = Counter(
            "orchidwind_view_items_told",
            "Items of a followed view in the answers to other proxies",
            ["view"],
            registry=self.registry,
        )
        self._forwarded = Counter(
            "orchidwind_forwarded_commands",
            "Commands sent to homes, by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self._silent = Counter(
            "orchidwind_silent_connections",
            "Open connections that were found silent, by what they were for",
            ["connection"],
            registry=self.registry,
        )
        self.sessions = Gauge("orchidwind_callers", "Callers' sessions", registry=self.registry)
        self.configuration_version = Gauge(
            "orchidwind_configuration_version",
            "Version of the configuration in force",
            registry=self.registry,
        )

        self._watch_age = Gauge(
            "orchidwind_view_age_seconds",
            "Time since a followed view was last known to be current",
            ["view"],
            registry=self.registry,
        )

    def watch_age(self, view: str, seconds: Callable[[], float]) -> None:
        """The age of a view, asked for whenever the figures are read."""
        self._watch_age.labels(view).set_function(seconds)

    def finished(
        self, consistency: str, command: CommandKind, error: ErrorKind | None, seconds: float
    ) -> None:
        """A command ended."""
        result = "ok" if error is None else error.value
        self._requests.labels(consistency, command.value, result).inc()
        self._seconds.labels(consistency).observe(seconds)

    def failover(self, reason: str, outcome: str) -> None:
        """A change of primary ended."""
        self._failovers.labels(reason, outcome).inc()

    def message(self, kind: str) -> None:
        """A message went to an instance."""
        self._messages.labels(kind).inc()

    def attempt(self, asked: str, role: str, answer: str) -> None:
        """An instance answered an attempt."""
        self._attempts.labels(asked, role, answer).inc()

    def store_call(self, method: str, kind: str) -> None:
        """A call to the store was made."""
        self._store_calls.labels(method, kind).inc()

    def view_reported(self, view: str, content: str, items: int) -> None:
        """Another proxy was told of a view, with so many items."""
        self._view_reports.labels(view, content).inc()
        self._view_items.labels(view).inc(items)

    def forwarded(self, outcome: str) -> None:
        """A command that was sent to a home has ended."""
        self._forwarded.labels(outcome).inc()

    def silent(self, found: SilentConnection) -> None:
        """An open connection was found silent: it is logged and counted."""
        log_silent(found)
        self._silent.labels(found.kind.value).inc()

    def silent_counts(self) -> dict[str, int]:
        """Connections found silent so far, by kind."""
        return _counts(self._silent)

    def message_counts(self) -> dict[str, int]:
        """Messages so far, by kind."""
        return _counts(self._messages)

    def attempt_counts(self) -> dict[str, int]:
        """Attempts so far, by what was asked for, role of the instance, and answer."""
        return _counts(self._attempts)

    def store_call_counts(self) -> dict[str, int]:
        """Calls to the store so far, by method and kind."""
        return _counts(self._store_calls)

    def view_report_counts(self) -> dict[str, int]:
        """Answers to other proxies so far, by view and what was told, and the items they held."""
        items = {f"{view}_items": count for view, count in _counts(self._view_items).items()}
        return _counts(self._view_reports) | items

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
