"""Asks a database, on a connection of its own, whether it still runs what another one waits for.

A statement may run for long, and an open connection may be silent for good: at the connection both
look alike. The database knows which it is.
"""

from __future__ import annotations

import asyncio

from orchidwind.elected.core.statements import Statement
from orchidwind.elected.network.backend import BackendConnection, ConnectionTarget
from orchidwind.shared.core.errors import BackendRefused

# As long as any new connection to an instance (`instance_targets.py`).
_ASK_SECONDS = 2.0
_ACTIVE = b"active"


async def still_runs(target: ConnectionTarget, backend: int) -> bool:
    """Whether a backend process, by its id, runs a statement, or does not tell.

    Raises BackendRefused, BackendConnectionLost, TimeoutError, OSError where nobody answers.
    """
    query = f"SELECT state FROM pg_stat_activity WHERE pid = {backend}"
    async with asyncio.timeout(_ASK_SECONDS):
        connection = await BackendConnection.open(target, lambda: None)
        try:
            result = await connection.run(Statement(query, simple=True), None)
        finally:
            connection.close()
    if result.error is not None:
        raise BackendRefused(result.error.message, result.error.sqlstate)
    if not result.first_row:
        return False
    # A user without pg_read_all_stats is shown no state of the others.
    return result.first_row[0] in (_ACTIVE, None)
