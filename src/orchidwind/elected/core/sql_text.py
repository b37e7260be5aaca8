"""Tokens and statements of a SQL text."""

from __future__ import annotations

import re

from sqlglot.dialects.postgres import Postgres
from sqlglot.errors import TokenError
from sqlglot.tokens import Token, TokenType

_QUOTED_OR_PARAMETER = re.compile(r"'(?:[^']|'')*'|\"[^\"]*\"|\$\d+(?=[^\d\s])")


def space_parameters(sql: str) -> str:
    """Put a space behind each `$1`.

    The tokenizer takes `$1,$` for the start of a dollar-quoted string, though PostgreSQL's tags
    cannot begin with a digit.
    """
    return _QUOTED_OR_PARAMETER.sub(_spaced, sql) if "$" in sql else sql


def _spaced(match: re.Match[str]) -> str:
    text = match.group()
    return f"{text} " if text.startswith("$") else text


def tokenize_statements(sql: str) -> list[list[Token]]:
    """The tokens of each statement of a text; raises ValueError where it can't be tokenized."""
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


def split_statements(sql: str) -> list[str]:
    """Cut a text at its semicolons; raises ValueError where it can't be tokenized."""
    spaced = space_parameters(sql)
    statements = tokenize_statements(spaced)
    return [spaced[statement[0].start : statement[-1].end + 1] for statement in statements]
