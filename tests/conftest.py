"""Shared fixtures, Hypothesis profiles and the handling of KNOWN-RED.txt.

Hypothesis draws the same examples in every run, unless HYPOTHESIS_PROFILE=explore is set.
"""

import asyncio
import os

import pytest
from hypothesis import HealthCheck, settings
from support import known_red

from orchidwind_bench.elected.deployment import CALLER, CALLER_PASSWORD, Deployment, DeploymentPlan
from orchidwind_bench.processes import Programs

CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large]
settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, suppress_health_check=CHECKS
)
settings.register_profile(
    "explore", deadline=None, max_examples=1200, suppress_health_check=CHECKS, database=None
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def _known_reds():
    return known_red.read(known_red.LIST.read_text()) if known_red.LIST.exists() else []


def pytest_collection_modifyitems(items):
    known_red.mark(items, _known_reds())


def pytest_terminal_summary(terminalreporter):
    for red in _known_reds():
        terminalreporter.write_line(f"KNOWN RED {red.test}: {red.reason}")


class RunningSystem:
    """A small deployment of real processes that all tests of one run share."""

    user = CALLER
    password = CALLER_PASSWORD

    def __init__(self, deployment):
        self.deployment = deployment
        self.database = deployment.plan.databases[0]

    def dsn(self, proxy, options=""):
        dsn = self.deployment.dsn(self.deployment.proxies[proxy], self.database)
        return f"{dsn} options='{options}'" if options else dsn

    def caller_port(self, proxy):
        return self.deployment.proxies[proxy].settings.caller_port


PLAN = DeploymentPlan(
    name="tests",
    zones=("zone-a", "zone-b", "zone-c"),
    databases=("tests",),
    slots=6,
    callers_a_database=10,
    connect_ms=1.0,
    zone_latency_ms=0.0,
    client_latency_ms=0.0,
)


@pytest.fixture(scope="session")
def system(tmp_path_factory):
    folder = tmp_path_factory.mktemp("system")
    with Programs(folder) as programs:
        deployment = Deployment(PLAN, folder, programs)
        asyncio.run(deployment.start())
        yield RunningSystem(deployment)
