"""Reads go where their tenant has a free connection, unless others answer much sooner."""

import pytest

from orchidwind.promoted.core import opening_cost as opening_cost_module
from orchidwind.promoted.core.opening_cost import OPENING_COST_SECONDS, opening_cost
from orchidwind.shared.core.tenant_connections import NO_TENANT, TenantConnections
from orchidwind_bench.promoted.laboratory.play import INSTANCES, LoadPlan, play_load
from orchidwind_bench.promoted.laboratory.scenarios import FAULT_FROM, FAULT_UNTIL

TENANTS = 60
# As in test_load: the instances have the capacity to serve all requests in time.
WITHIN_CAPACITY = 0.95
# The aim: at least a third fewer openings than without the cost.
AIMED_SHARE = 2 / 3


def test_only_a_tenant_without_a_free_connection_pays():
    connections = TenantConnections()
    connections.connection_opening(1, "a")
    connections.connection_opening(2, "b")
    assert opening_cost("a", connections, [1, 2]) == 0.0
    assert opening_cost("a", connections, [2]) == OPENING_COST_SECONDS
    assert opening_cost("c", connections, [1, 2]) == OPENING_COST_SECONDS
    assert opening_cost("a", connections, []) == OPENING_COST_SECONDS


def test_without_tenants_nothing_changes():
    connections = TenantConnections()
    assert opening_cost(NO_TENANT, connections, []) == 0.0
    connections.connection_opening(1, NO_TENANT)
    assert opening_cost(NO_TENANT, connections, [1]) == 0.0


def without_cost(monkeypatch):
    """The rejected design: a read goes to the instance that answers first, whoever is connected."""
    monkeypatch.setattr(opening_cost_module, "OPENING_COST_SECONDS", 0.0)


def share_at_primary(load, seed):
    """The fraction of all statements that the primary ran."""
    completed = play_load(LoadPlan(load, seed=seed, tenants=TENANTS)).completed
    return completed[INSTANCES[0]] / sum(completed.values())


def played(load, seed):
    """New connections an operation, and the figures."""
    result = play_load(LoadPlan(load, seed=seed, tenants=TENANTS))
    assert result.broken == []
    opened = result.connections_opened / len(result.outcomes)
    return opened, result.figures(FAULT_FROM, FAULT_UNTIL)


@pytest.mark.parametrize("seed", [1, 2])
def test_fewer_connections_are_opened_where_there_is_room(seed, monkeypatch):
    opened, found = played(0.5, seed)
    assert found.credit >= WITHIN_CAPACITY
    without_cost(monkeypatch)
    assert opened <= AIMED_SHARE * played(0.5, seed)[0]


@pytest.mark.parametrize("seed", [1, 2])
def test_near_the_capacity_fewer_openings_serve_more_in_time(seed, monkeypatch):
    opened, found = played(0.9, seed)
    without_cost(monkeypatch)
    other_opened, other = played(0.9, seed)
    assert opened < other_opened
    assert found.credit >= other.credit
    assert found.median <= other.median


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load", [0.5, 0.9])
def test_the_primary_runs_no_more_statements_than_without_the_cost(load, seed, monkeypatch):
    """Writes need the primary; reads that a replica could serve do not."""
    found = share_at_primary(load, seed)
    without_cost(monkeypatch)
    assert found <= share_at_primary(load, seed)
