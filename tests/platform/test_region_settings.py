"""The settings file names the region of each zone; a proxy without it knows one region."""

import json

import pytest

from orchidwind.platform.main import log_unlisted_zone
from orchidwind.platform.settings import load_platform_settings
from orchidwind.promoted.core.distances import Regions

SETTINGS = {
    "node_name": "front-1",
    "ip": "10.1.0.8",
    "zone": "z1",
    "listen": {"front": "10.1.0.8:1", "ready": "10.1.0.8:2", "control": "10.1.0.8:3"},
    "internal_port_range": [4, 5],
    "platform": {"address": "10.2.0.1:6"},
    "cloud_api": {"address": "10.2.0.2:7"},
}


@pytest.mark.parametrize(
    ("given", "table", "several"),
    [
        ({}, {}, False),
        ({"region": "r1"}, {"z1": "r1"}, False),
        ({"region": "r1", "zones": {"z1": "r1", "z2": "r1"}}, {"z1": "r1", "z2": "r1"}, False),
        ({"region": "r1", "zones": {"z2": "r2"}}, {"z2": "r2"}, False),
        (
            {"region": "r1", "zones": {"z2": "r2", "z3": "r3"}},
            {"z2": "r2", "z3": "r3"},
            True,
        ),
        ({"zones": {"z1": "r1", "z2": "r2"}}, {"z1": "r1", "z2": "r2"}, True),
    ],
)
def test_the_settings_name_the_regions(tmp_path, given, table, several):
    path = tmp_path / "local.json"
    path.write_text(json.dumps({**SETTINGS, **given}))
    settings = load_platform_settings(path)
    assert settings.region_by_zone == table
    assert Regions(settings.region_by_zone).several == several


@pytest.mark.parametrize(
    ("zones", "logged"), [({}, False), ({"z1": "r1", "z2": "r2"}, False), ({"z2": "r2"}, True)]
)
def test_an_own_zone_that_the_table_lacks_is_logged(tmp_path, caplog, zones, logged):
    path = tmp_path / "local.json"
    path.write_text(json.dumps({**SETTINGS, "region": "r1", "zones": zones}))
    log_unlisted_zone(load_platform_settings(path))
    assert [item.message for item in caplog.records] == ["own_zone_unlisted"] * logged


def test_proxies_with_the_same_table_agree_on_it_also_in_a_zone_that_it_lacks(tmp_path):
    tables = []
    for zone in ("z1", "z2", "z3"):
        path = tmp_path / f"{zone}.json"
        given = {"zone": zone, "region": "r1", "zones": {"z1": "r1", "z2": "r2"}}
        path.write_text(json.dumps({**SETTINGS, **given}))
        tables.append(load_platform_settings(path).region_by_zone)
    assert tables == [{"z1": "r1", "z2": "r2"}] * 3
