"""Asks a database over a new connection whether the backend of another connection runs a statement.

From the waiting connection alone, a long statement and a connection that has fallen silent look the
same. `pg_stat_activity` distinguishes the two.
"""

from __future__ import annotations

import asyncio

from orchidwind.elected.core.statements import Statement
from orchidwind.elected.network.backend import BackendConnection
from orchidwind.elected.network.connection_target import ConnectionTarget
from orchidwind.shared.core.errors import BackendRefused

# Equal to the time limit for any new connection to an instance (`instance_targets.py`).
_QUERY_TIMEOUT_SECONDS = 2.0
_ACTIVE = b"active"


async def statement_may_be_running(target: ConnectionTarget, backend_pid: int) -> bool:
    """Return True if a backend process runs a statement, or if its state is not visible.

    Raises BackendRefused, BackendConnectionLost, TimeoutError or OSError if the database does not
    answer.
    """
    query = f"SELECT state FROM pg_stat_activity WHERE pid = {backend_pid}"
    async with asyncio.timeout(_QUERY_TIMEOUT_SECONDS):
        connection = await BackendConnection.open(target, lambda: None)
        try:
            result = await connection.run(Statement(query, simple=True), None)
        finally:
            connection.close()
    if result.error is not None:
        raise BackendRefused(result.error.message, result.error.sqlstate)
    if not result.first_row:
        return False
    # The state is NULL for backends of other users unless the user has pg_read_all_stats.
    return result.first_row[0] in (_ACTIVE, None)
