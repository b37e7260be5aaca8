"""Entries of another writer: each names no instance to use, and hides no other.

An entry may lack fields, have other types or words in them, or bytes that can't be read.
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
    """A page of a listing with these contents, and a good one before and behind."""
    good = json.dumps(GOOD).encode()
    items = [
        b'{"meta":{"name":"i-%d","revision":%d},"spec":%s}' % (number, number + 1, spec)
        for number, spec in enumerate((good, *specs, good))
    ]
    return b'{"items":[%s],"has_more":false,"at":99}' % b",".join(items)


def listed(*specs):
    """The names of the instances that are read of a page, but for the two good ones."""
    translated = WatchedKind(None, InstanceTranslation())
    items, unreadable = translated._translate(decode(page(*specs), ObjectPage).items, era=0)
    names = [item.instance for item in items]
    assert {names[0], names[-1]} == {"i-0", f"i-{len(specs) + 1}"}
    assert len(items) + len(unreadable) == len(specs) + 2
    return names[1:-1]


def test_a_good_entry_is_read():
    assert listed(json.dumps(GOOD).encode()) == ["i-1"]


@pytest.mark.parametrize("missing", NEEDED)
def test_an_entry_without_a_field_names_no_instance(missing):
    spec = {name: value for name, value in GOOD.items() if name != missing}
    assert listed(json.dumps(spec).encode()) == []


@pytest.mark.parametrize(("name", "value"), OTHER_VALUES)
def test_an_entry_with_another_value_names_no_instance(name, value):
    assert listed(json.dumps({**GOOD, name: value}).encode()) == []


@pytest.mark.parametrize(
    "spec", [b"null", b"[]", b'""', b'"\xff\xfe"', b'{"service":"\xff"}', b"1"]
)
def test_what_is_no_entry_at_all_names_no_instance(spec):
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


def test_an_entry_that_becomes_unreadable_is_used_no_more_and_logged_once(tmp_path, caplog):
    caplog.set_level(logging.ERROR, logger="orchidwind")

    async def scenario(system):
        topology = system.proxy._proxy.groups[SERVICE].topology
        assert topology.instances["i-1"].listed
        system.store.put("servers", "i-1", {"service": 7})
        await asyncio.sleep(0.5)
        assert not topology.instances["i-1"].listed
        system.store.forget_history()
        await asyncio.sleep(1.5)
        told = [record for record in caplog.records if record.message == "object_not_as_described"]
        assert [record.object for record in told] == ["i-1"]
        system.write_entry(system.group.instances["i-1"])
        await asyncio.sleep(0.5)
        assert topology.instances["i-1"].listed

    with_system(tmp_path, scenario)
