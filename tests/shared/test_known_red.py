"""The list of known failures stays short, its entries are complete, and its tests must fail."""

import pytest
from support import known_red


class _Item:
    def __init__(self, nodeid):
        self.nodeid = nodeid
        self.markers = []

    def add_marker(self, marker):
        self.markers.append(marker)


HERE = "tests/shared/test_known_red.py"
LISTED = f"{HERE}::test_a_list_that_is_long_or_incomplete_is_refused"


def test_only_listed_tests_are_passed_over_and_one_that_passes_fails_the_run():
    items = [_Item(f"{HERE}::one"), _Item(LISTED)]
    known_red.mark(items, known_red.read(f"# list\n\n{LISTED} | pytest x, seed 1 | seen | 16\n"))
    assert items[0].markers == []
    assert [(m.name, m.kwargs["strict"]) for m in items[1].markers] == [("xfail", True)]


@pytest.mark.parametrize("text", ["{} | b", "{} | b | | 16", "{} | b | 16", "{} | b | c | 1\n" * 4])
def test_a_list_that_is_long_or_incomplete_is_refused(text):
    with pytest.raises(pytest.UsageError, match="over 3 lines|is a line"):
        known_red.read(text.replace("{}", LISTED))


@pytest.mark.parametrize("test", [f"{HERE}::test_gone", "tests/gone.py::test_a", HERE])
def test_an_entry_whose_test_is_gone_is_refused(test):
    """Guards against a fault that is forgotten because its test was renamed."""
    with pytest.raises(pytest.UsageError, match="gone"):
        known_red.read(f"{test} | pytest x, seed 1 | seen | 16\n")
