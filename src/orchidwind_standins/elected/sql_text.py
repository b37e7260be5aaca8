"""The text of queries: their statements and commands."""

from __future__ import annotations

import re

from orchidwind.elected.core.sql_text import space_parameters, tokenize_statements


def first_word(text: str) -> str:
    """Return the first word of a statement in capitals, empty if there is none."""
    stripped = text.lstrip()
    match = re.match(r"[A-Za-z]+", stripped)
    return match.group().upper() if match else ""


def split_statements(sql: str) -> list[str]:
    """Split a query string into statements; raises ValueError if it cannot be tokenized."""
    spaced = space_parameters(sql)
    statements = tokenize_statements(spaced)
    return [spaced[statement[0].start : statement[-1].end + 1] for statement in statements]
