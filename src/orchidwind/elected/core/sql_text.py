"""Splits SQL text into statements and tokens."""

from __future__ import annotations

import re

from sqlglot.dialects.postgres import Postgres
from sqlglot.errors import TokenError
from sqlglot.tokens import Token, TokenType

_COMMIT_WORDS = ("COMMIT", "END")
_QUOTED_OR_PARAMETER = re.compile(r"'(?:[^']|'')*'|\"[^\"]*\"|\$\d+(?=[^\d\s])")


def space_parameters(sql: str) -> str:
    """Insert a space after each parameter such as `$1` that is directly followed by other text.

    Otherwise the tokenizer takes `$1,$` for the start of a dollar-quoted string, although the tag
    of such a string cannot begin with a digit in PostgreSQL.
    """
    return _QUOTED_OR_PARAMETER.sub(_append_space, sql) if "$" in sql else sql


def _append_space(match: re.Match[str]) -> str:
    text = match.group()
    return f"{text} " if text.startswith("$") else text


def tokenize_statements(sql: str) -> list[list[Token]]:
    """The tokens of each statement of a text; raises ValueError if it cannot be tokenized."""
    try:
        tokens = Postgres().tokenize(space_parameters(sql))
    except TokenError as error:
        raise ValueError(str(error)) from error
    statements: list[list[Token]] = [[]]
    for token in tokens:
        if token.token_type is TokenType.SEMICOLON:
            statements.append([])
        else:
            statements[-1].append(token)
    return [statement for statement in statements if statement]


def may_commit(sql: str) -> bool:
    """Whether the text, sent inside a transaction, may commit that transaction."""
    text = sql.lstrip().upper()
    return text.startswith(_COMMIT_WORDS) or ";" in text.rstrip("; \n")
