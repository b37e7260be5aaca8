"""The summary of failed commands counts each log line once, under one cause."""

import pytest

from orchidwind.commands.explain import parse_line
from orchidwind.shared.core.errors import ErrorKind
from orchidwind_bench.account.failed_commands import Cause, cause_of, failed_commands


def failed(reason, milliseconds=0, attempts="", second=0):
    return parse_line(
        f"event=request_failed node=p-1 group=g reason={reason} milliseconds={milliseconds} "
        f'attempts="{attempts}" at="2026-01-01 00:00:{second:02}.500000+00:00"'
    )


@pytest.mark.parametrize(
    ("line", "cause"),
    [
        (failed("overloaded", 1), Cause.REFUSED_AT_ONCE),
        (failed("overloaded", 200), Cause.REFUSED_AFTER_WAITING),
        (failed("no_primary", 400), Cause.NO_PRIMARY),
        (failed("statement_timeout", 800, "1: i-0:connection_lost"), Cause.INSTANCE_LOST),
        (failed("outcome_unknown", 87, "1: p-2:home_lost:sent=True"), Cause.HOME_LOST),
        (failed("something_new"), Cause.UNEXPLAINED),
    ],
)
def test_a_line_has_one_cause(line, cause):
    assert cause_of(line) is cause


def test_every_kind_of_error_but_internal_ones_is_explained():
    unexplained = {kind for kind in ErrorKind if cause_of(failed(kind.value)) is Cause.UNEXPLAINED}
    assert unexplained <= {
        ErrorKind.INTERNAL,
        ErrorKind.AUTHENTICATION_FAILED,
        ErrorKind.NOT_SUPPORTED,
        ErrorKind.TOO_MANY_CALLERS,
        ErrorKind.INVALID_SETTING,
        ErrorKind.MESSAGE_TOO_LARGE,
        ErrorKind.PROXY_STOPPING,
    }


def test_the_rows_count_every_line():
    lines = [failed("no_primary", second=1), failed("no_primary", second=1)]
    lines += [
        failed("overloaded", second=3),
        parse_line('event=started at="2026-01-01 00:00:00+00:00"'),
    ]
    rows = failed_commands(lines)
    assert [(row.second, row.group, row.count) for row in rows] == [(1, "g", 2), (3, "g", 1)]
