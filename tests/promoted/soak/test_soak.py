"""Tests of the soak: its schedules and checks, short runs, and seeds that once broke a promise."""

import asyncio

import pytest

from orchidwind_bench.platform.soak import run as soak_run
from orchidwind_bench.platform.soak import system as soak_system
from orchidwind_bench.platform.soak.callers import Record
from orchidwind_bench.platform.soak.configuration import ProbeAnswer, broken_promise
from orchidwind_bench.platform.soak.faults import FAULTS, draw_schedule
from orchidwind_bench.platform.soak.planned_fault import PlannedFault
from orchidwind_bench.platform.soak.promises import GroupHistory, check_group, check_tokens
from orchidwind_bench.platform.soak.run import soak
from orchidwind_bench.platform.soak.system import SoakSizes, SoakSystem
from orchidwind_standins.platform.replicated_log import JournalLine, LogEntry

# Seeds whose runs broke a promise before a fix; there are none.
REGRESSION_SEEDS = ()
# Half of a run has no faults, so that the bounds on the configuration can be checked.
SHORT_SECONDS = 18.0


@pytest.mark.parametrize("seed", (1, 2, *REGRESSION_SEEDS))
def test_promises_hold_with_real_processes(tmp_path, seed):
    report = asyncio.run(soak(seed, SHORT_SECONDS, tmp_path, SoakSizes()))
    assert report.broken == []
    assert report.answers["ok"] > 50
    assert report.answers["read: ok"] > 20


def test_schedules_follow_from_their_seed():
    assert draw_schedule(5, 30.0) == draw_schedule(5, 30.0)
    assert draw_schedule(5, 30.0) != draw_schedule(6, 30.0)
    drawn = {fault.name for seed in range(40) for fault in draw_schedule(seed, 30.0)}
    assert drawn == set(FAULTS)


@pytest.fixture
def system(tmp_path):
    return SoakSystem(tmp_path, SoakSizes(proxies=1))


def primary_with_log(*writes):
    """Returns the history of a group whose only primary committed these writes."""
    lines = [JournalLine(0.0, term=1, role="primary", note="started as i-0")]
    lines += [JournalLine(0.5, entries=(LogEntry(1, (write,)),)) for write in writes]
    return GroupHistory.of({"i-0": lines})


@pytest.mark.parametrize(
    ("acknowledged", "refused", "logged", "broken"),
    [
        ([1], set(), [("t0", "1")], ""),
        ([1, 2], set(), [("t0", "1")], "LOST"),
        ([1], set(), [("t0", "1"), ("t0", "1")], "TWICE"),
        ([1], {("t0", 2)}, [("t0", "1"), ("t0", "2")], "REFUSED"),
    ],
)
def test_the_log_checks_detect_broken_promises(acknowledged, refused, logged, broken):
    record = Record()
    record.acknowledged["t0"] = [(1.0, number) for number in acknowledged]
    record.refused = refused
    check_group(record, primary_with_log(*logged))
    assert [item.split(":")[0] for item in record.broken] == ([broken] if broken else [])


def test_the_promotion_check_detects_reused_and_lower_tokens():
    promotions = [("g", "i-1", "a", 5), ("g", "i-2", "b", 5), ("g", "i-2", "a", 4)]
    assert len(check_tokens(promotions)) == 2


@pytest.mark.parametrize(
    ("version", "served", "sent_at", "newest_seen", "broken"),
    [
        (2, True, 103.5, 2, ""),
        (2, False, 103.5, 0, "does not serve 2"),
        (2, False, 102.5, 0, ""),
        (1, True, 103.5, 0, "still serves 1, 2 is due"),
        (1, True, 102.5, 0, ""),
        (1, True, 102.5, 2, "goes back to 1"),
        (1, False, 103.5, 0, ""),
    ],
)
def test_the_configuration_check_detects_broken_promises(
    system, version, served, sent_at, newest_seen, broken
):
    system._versions = [(50.0, 1), (100.0, 2)]
    answer = ProbeAnswer("proxy-0", version, sent_at, sent_at, served)
    found = broken_promise(system, answer, newest_seen)
    assert (broken in found) if broken else found == ""
    system.record_disturbance("store", 80.0, 99.8)
    assert broken_promise(system, answer, 0) == "", "less than 4 s after a disturbance"


@pytest.mark.parametrize(("answered_at", "broken"), [(99.9, True), (100.1, False)])
def test_a_version_that_is_replaced_before_the_answer_need_not_be_served(
    system, answered_at, broken
):
    system._versions = [(50.0, 1), (100.0, 2)]
    answer = ProbeAnswer("proxy-0", 1, 99.8, answered_at, served=False)
    assert bool(broken_promise(system, answer, 0)) == broken


def test_the_soak_detects_a_proxy_that_waits_for_a_silent_watch(tmp_path, monkeypatch):
    """Guards against a soak that misses a proxy with an outdated configuration.

    The store accepts a watch and never answers it; with a bound of 20 s in its settings, the
    proxy keeps waiting for that watch and does not learn of the new version.
    """
    plan = [
        PlannedFault(1.0, "silence_store", 2.0, 0),
        PlannedFault(3.5, "change_configuration", 0.0, 0),
    ]
    monkeypatch.setattr(soak_run, "draw_schedule", lambda seed, seconds: plan)
    monkeypatch.setattr(soak_system, "BOUNDS", {"config_apply_ms": 20e3, "contact_ms": 20e3})
    report = asyncio.run(soak(1, 10.0, tmp_path, SoakSizes(proxies=2)))
    assert any("does not serve 2, which is due" in item for item in report.broken)
