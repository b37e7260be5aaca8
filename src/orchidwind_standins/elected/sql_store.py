"""The tables of one stand-in instance, in SQLite.

SQLite gives readers a snapshot concurrent with a writer only in WAL mode, which needs a file; with
in-memory databases, readers see uncommitted rows or are locked out. The file is in a temporary
directory that the program removes when it stops. It is not used after a restart.
"""

from __future__ import annotations

import shutil
import sqlite3
import tempfile
from collections.abc import Callable
from pathlib import Path

from orchidwind_standins.elected.replication import Change, LogRecord
from orchidwind_standins.elected.sql_translation import CATALOG_TABLE, Catalog, Translator

_CATALOG_SCHEMA = (
    f"CREATE TABLE {CATALOG_TABLE} (table_name TEXT, column_name TEXT, oid INTEGER,"
    " PRIMARY KEY (table_name, column_name))"
)
_PRAGMAS = ("PRAGMA journal_mode=WAL", "PRAGMA synchronous=OFF", "PRAGMA busy_timeout=0")
UPSERT_CATALOG_COLUMN = f"INSERT OR REPLACE INTO {CATALOG_TABLE} VALUES (?1, ?2, ?3)"
DELETE_CATALOG_TABLE = f"DELETE FROM {CATALOG_TABLE} WHERE table_name = ?1"

SqlFunction = tuple[str, int, Callable[..., None | int | float | str | bytes]]


class SqlStore:
    """Applies the replication log to SQLite tables; opens connections for sessions."""

    def __init__(self, on_reset: Callable[[], None]) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="orchidwind-standin-"))
        self._generation = 0
        self._on_reset = on_reset
        self.translator = Translator()
        self._replay = self._create()

    def _path(self) -> Path:
        return self._folder / f"{self._generation}.sqlite"

    def _create(self) -> sqlite3.Connection:
        connection = self._connect()
        connection.execute(_CATALOG_SCHEMA)
        return connection

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(self._path(), isolation_level=None, cached_statements=256)
        for pragma in _PRAGMAS:
            connection.execute(pragma)
        return connection

    def open(self, functions: list[SqlFunction]) -> sqlite3.Connection:
        """Open a connection for one session, with the SQL functions of that session."""
        connection = self._connect()
        for name, arguments, function in functions:
            connection.create_function(name, arguments, function)
        return connection

    def apply(self, record: LogRecord) -> None:
        """Apply one committed transaction."""
        if not record.changes:
            return
        self._replay.execute("BEGIN IMMEDIATE")
        for change in record.changes:
            self._replay.execute(change.statement, change.parameters)
        self._replay.execute("COMMIT")
        if changes_catalog(record.changes):
            self.reload_catalog()

    def reset(self) -> None:
        """Replace the database by an empty one; open sessions are closed, as by pg_rewind."""
        self._on_reset()
        self._replay.close()
        self._generation += 1
        self._replay = self._create()
        self.reload_catalog()

    def reload_catalog(self) -> None:
        """Reload the declared columns from the catalog table."""
        catalog: Catalog = {}
        query = f"SELECT table_name, column_name, oid FROM {CATALOG_TABLE} ORDER BY rowid"
        for table, column, oid in self._replay.execute(query):
            catalog.setdefault(table, {})[column] = oid
        self.translator.set_catalog(catalog)

    def close(self) -> None:
        """Close the database and remove its files."""
        self._replay.close()
        shutil.rmtree(self._folder, ignore_errors=True)


def changes_catalog(changes: tuple[Change, ...] | list[Change]) -> bool:
    """Whether a transaction creates or drops a table."""
    return any(
        change.statement in (UPSERT_CATALOG_COLUMN, DELETE_CATALOG_TABLE) for change in changes
    )
