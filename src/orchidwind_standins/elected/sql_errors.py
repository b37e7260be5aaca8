"""The errors that the stand-in database reports, by SQLSTATE."""

from __future__ import annotations

import sqlite3

from orchidwind.shared.core.errors import ErrorKind, RequestError


def sql_error(sqlstate: str, message: str) -> RequestError:
    """Return a RequestError for an error that PostgreSQL reports with this SQLSTATE."""
    return RequestError(ErrorKind.STATEMENT_FAILED, message, sqlstate=sqlstate)


def sqlite_error(error: sqlite3.Error) -> RequestError:
    """Return the error that PostgreSQL reports where SQLite reported this one."""
    text = str(error)
    if "UNIQUE constraint" in text:
        return sql_error("23505", f"duplicate key value violates unique constraint ({text})")
    if "NOT NULL constraint" in text:
        return sql_error("23502", f"null value violates not-null constraint ({text})")
    if "constraint" in text:
        return sql_error("23514", text)
    if "no such table" in text:
        return sql_error("42P01", f'relation "{text.rpartition(" ")[2]}" does not exist')
    if "already exists" in text:
        return sql_error("42P07", text)
    if "no such column" in text or "has no column named" in text:
        return sql_error("42703", text)
    if "no such function" in text:
        return sql_error("42883", text)
    return sql_error("42601", text)
