"""The settings file names the region of each zone; a proxy without it knows one region."""

import json

import pytest

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
        ({"region": "r1", "zones": {"z2": "r2"}}, {"z1": "r1", "z2": "r2"}, True),
        ({"zones": {"z1": "r1", "z2": "r2"}}, {"z1": "r1", "z2": "r2"}, True),
    ],
)
def test_the_settings_name_the_regions(tmp_path, given, table, several):
    path = tmp_path / "local.json"
    path.write_text(json.dumps({**SETTINGS, **given}))
    settings = load_platform_settings(path)
    assert settings.region_by_zone == table
    assert Regions(settings.region_by_zone).several == several
