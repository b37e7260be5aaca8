"""Invalid directory entries are not used as instances and don't hide valid ones.

Other writers can put entries into the directory that lack fields, have wrong types or unknown
values, or contain bytes that can't be decoded.
"""

import asyncio
import json
import logging

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.platform_system import SERVICE, with_system

from orchidwind.platform.published import InstanceTranslation
from orchidwind.platform.store import WatchedKind
from orchidwind.platform.stored_objects import ObjectPage, decode

GOOD = {
    "service": "svc1",
    "address": "10.0.0.3:5432",
    "zone": "z1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "db_role": "replica",
    "call_seq": 1,
}
NEEDED = ("service", "address", "zone", "slots", "state", "db_role")
OTHER_VALUES = (
    ("service", 7),
    ("address", "10.0.0.3"),
    ("address", ":5432"),
    ("address", "10.0.0.3:0"),
    ("address", "10.0.0.3:65536"),
    ("address", "10.0.0.3:-1"),
    ("address", "10.0.0.3:٣"),
    ("address", ["10.0.0.3", 5432]),
    ("zone", None),
    ("slots", 0),
    ("slots", "3"),
    ("slots", 1.5),
    ("state", "gone"),
    ("state", True),
    ("db_role", "witness"),
)


def page(*specs):
    """The JSON of a listing page with these entries between two valid ones."""
    good = json.dumps(GOOD).encode()
    items = [
        b'{"meta":{"name":"i-%d","revision":%d},"spec":%s}' % (number, number + 1, spec)
        for number, spec in enumerate((good, *specs, good))
    ]
    return b'{"items":[%s],"has_more":false,"at":99}' % b",".join(items)


def listed(*specs):
    """The instances decoded from a page of these entries, except the two valid ones around them."""
    translated = WatchedKind(None, InstanceTranslation())
    items, unreadable = translated._translate(decode(page(*specs), ObjectPage).items, era=0)
    names = [item.instance for item in items]
    assert {names[0], names[-1]} == {"i-0", f"i-{len(specs) + 1}"}
    assert len(items) + len(unreadable) == len(specs) + 2
    return names[1:-1]


def test_valid_entry_is_decoded():
    assert listed(json.dumps(GOOD).encode()) == ["i-1"]


@pytest.mark.parametrize("missing", NEEDED)
def test_entry_with_missing_field_is_not_used(missing):
    spec = {name: value for name, value in GOOD.items() if name != missing}
    assert listed(json.dumps(spec).encode()) == []


@pytest.mark.parametrize(("name", "value"), OTHER_VALUES)
def test_entry_with_invalid_value_is_not_used(name, value):
    assert listed(json.dumps({**GOOD, name: value}).encode()) == []


@pytest.mark.parametrize(
    "spec", [b"null", b"[]", b'""', b'"\xff\xfe"', b'{"service":"\xff"}', b"1"]
)
def test_undecodable_entry_is_not_used(spec):
    assert listed(spec) == []


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=5,
)


@given(st.lists(st.dictionaries(st.sampled_from(sorted(GOOD)), JSON, max_size=3), max_size=5))
def test_whatever_stands_in_entries_the_good_ones_hold(changes):
    specs = [{**GOOD, **change} for change in changes]
    known = listed(*(msgspec.json.encode(spec) for spec in specs))
    for number, spec in enumerate(specs):
        if f"i-{number + 1}" in known:
            assert all(type(spec[name]) in (str, int, float) for name in NEEDED)
            assert spec["state"] in ("ready", "draining")
            assert spec["db_role"] in ("primary", "replica")


def test_entry_that_becomes_invalid_is_dropped_and_logged_once(tmp_path, caplog):
    caplog.set_level(logging.ERROR, logger="orchidwind")

    async def scenario(system):
        topology = system.proxy._proxy.groups[SERVICE].topology
        assert topology.instances["i-1"].listed
        system.store.put("servers", "i-1", {"service": 7})
        await asyncio.sleep(0.5)
        assert not topology.instances["i-1"].listed
        system.store.forget_history()
        await asyncio.sleep(1.5)
        logged_records = [
            record for record in caplog.records if record.message == "object_not_as_described"
        ]
        assert [record.object for record in logged_records] == ["i-1"]
        system.write_entry(system.group.instances["i-1"])
        await asyncio.sleep(0.5)
        assert topology.instances["i-1"].listed

    with_system(tmp_path, scenario)
