"""Reads the proxies' own figures."""

from __future__ import annotations

from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families
from tornado.httpclient import HTTPClientError

from orchidwind_bench.elected.deployment import Deployment, ProxyNode, fetch


@dataclass(frozen=True)
class ReadCounts:
    """Reads answered, by where they ran."""

    replica: float
    primary: float

    @property
    def share(self) -> float:
        """The part that replicas served, 0 without reads."""
        total = self.replica + self.primary
        return self.replica / total if total else 0.0


async def read_counts(deployment: Deployment, traffic_class: str = "") -> ReadCounts:
    """Sum the counts of all proxies that answer, of one class where it is named."""
    sums = {"replica": 0.0, "primary": 0.0}
    for node in deployment.proxies:
        for family in await _families(node):
            if family.name != "orchidwind_reads":
                continue
            for sample in family.samples:
                wanted = not traffic_class or sample.labels["traffic_class"] == traffic_class
                if wanted and sample.name.endswith("_total"):
                    sums[sample.labels["target"]] += sample.value
    return ReadCounts(sums["replica"], sums["primary"])


async def replica_share(deployment: Deployment) -> float:
    """Share of the reads that replicas served."""
    return (await read_counts(deployment)).share


async def _families(node: ProxyNode) -> list:
    try:
        text = (await fetch(f"{node.operator_url}/metrics")).decode()
    except (HTTPClientError, OSError):
        return []
    return list(text_string_to_metric_families(text))
