"""The limit of prepared statements in a session of the extended query protocol."""

import pytest

from orchidwind.elected.postgres.portals import MAXIMUM_PREPARED_STATEMENTS, PortalTable
from orchidwind.shared.core.errors import ErrorKind, RequestError


def parse(table, name, sql="select 1"):
    table.parse(name.encode() + b"\0" + sql.encode() + b"\0" + b"\0\0")


def test_a_full_session_may_still_replace_its_unnamed_statement():
    """Guards against refusing every simple use of a driver once 2,000 statements are prepared."""
    table = PortalTable()
    parse(table, "")
    for number in range(MAXIMUM_PREPARED_STATEMENTS - 1):
        parse(table, f"s{number}")
    parse(table, "", "select 2")
    assert table.statement("").sql == "select 2"
    with pytest.raises(RequestError) as refused:
        parse(table, "one-more")
    assert refused.value.kind is ErrorKind.OVERLOADED
