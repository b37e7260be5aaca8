"""SQL statements of the request ledger, which has one row for each named request that ran.

The row is written in the transaction of the request itself, so that it is durable if and only if
the request is. Request identifiers are restricted to characters that need no quoting.
"""

from __future__ import annotations

import re

from orchidwind.elected.core.statements import Statement

LEDGER_TABLE = "orchidwind_request_ledger"
# SQLSTATE undefined_table: the ledger does not exist yet.
UNDEFINED_TABLE = "42P01"
_VALID_IDENTIFIER = re.compile(r"[A-Za-z0-9_.:\-]{1,128}")
_COMMAND_TAG = re.compile(r"[A-Z0-9 ]{0,64}")

CREATE_LEDGER = Statement(
    f"ROLLBACK; CREATE TABLE IF NOT EXISTS {LEDGER_TABLE}"
    " (request_id text PRIMARY KEY, command_tag text, recorded_at timestamptz)",
    simple=True,
)


def is_valid_request_id(text: str) -> bool:
    """Whether a text is a valid request identifier."""
    return _VALID_IDENTIFIER.fullmatch(text) is not None


def claim_statement(request_id: str, begin: bool = True) -> Statement:
    """Insert the ledger row, after BEGIN if `begin`; the tag ends in 0 if the row existed."""
    insert = (
        f"INSERT INTO {LEDGER_TABLE} (request_id, command_tag, recorded_at)"
        f" VALUES ('{request_id}', '', now()) ON CONFLICT DO NOTHING"
    )
    return Statement(f"BEGIN; {insert}" if begin else insert, simple=True)


def complete_statement(request_id: str, command_tag: str) -> Statement:
    """Record the command tag in the ledger row and commit."""
    tag = command_tag if _COMMAND_TAG.fullmatch(command_tag) else ""
    update = f"UPDATE {LEDGER_TABLE} SET command_tag = '{tag}' WHERE request_id = '{request_id}'"
    return Statement(f"{update}; COMMIT", simple=True)


def lookup_statement(request_id: str) -> Statement:
    """Read the recorded command tag and end the transaction."""
    select = f"SELECT command_tag FROM {LEDGER_TABLE} WHERE request_id = '{request_id}'"
    return Statement(f"{select}; ROLLBACK", simple=True)
