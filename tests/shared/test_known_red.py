"""The list of known failures stays short, its entries are complete, and its tests must fail."""

import pytest
from support import known_red


class _Item:
    def __init__(self, nodeid):
        self.nodeid = nodeid
        self.markers = []

    def add_marker(self, marker):
        self.markers.append(marker)


def test_only_listed_tests_are_passed_over_and_one_that_passes_fails_the_run():
    items = [_Item("tests/a.py::one"), _Item("tests/a.py::two")]
    known_red.mark(items, known_red.read("# list\n\ntests/a.py::two | cause | 16\n"))
    assert items[0].markers == []
    assert [(m.name, m.kwargs["strict"]) for m in items[1].markers] == [("xfail", True)]


@pytest.mark.parametrize("text", ["a | b", "a | | 16", "a | b | 1\n" * 4])
def test_a_list_that_is_long_or_incomplete_is_refused(text):
    with pytest.raises(pytest.UsageError):
        known_red.read(text)
