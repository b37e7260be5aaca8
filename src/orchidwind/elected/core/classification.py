"""Classifies a statement by its text: read, write, transaction control or session control.

Works on tokens and errs on the side of the primary: a statement counts as a read only if every
keyword and function in it is known not to write.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, unique
from functools import lru_cache
from urllib.parse import unquote

from sqlglot.tokens import Token, TokenType

from orchidwind.elected.core.sql_text import tokenize_statements

# Number of cached classifications; bounds memory if literal values make the texts distinct.
CACHED_STATEMENTS = 4096


@unique
class StatementKind(Enum):
    """What a statement may do."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    SET = "set"
    SET_LOCAL = "set_local"
    RESET = "reset"
    SHOW = "show"
    EMPTY = "empty"
    NOT_SUPPORTED = "not_supported"


@dataclass(frozen=True, slots=True)
class Classification:
    """The kind of a statement; `name` and `value` are set for SET, RESET and SHOW.

    `reason` says why a statement is not supported.
    """

    kind: StatementKind
    name: str = ""
    value: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class CommentTags:
    """The tags in a trailing comment of sqlcommenter format."""

    request_id: str = ""
    traffic_class: str = ""


_FUNCTION_NAMES = """
abs age array_agg array_length avg bit_length btrim ceil ceiling char_length coalesce concat
concat_ws convert_from convert_to count current_database current_schema current_setting
date_part date_trunc decode encode exp extract floor format format_type generate_series
greatest has_schema_privilege has_table_privilege initcap json_agg json_build_object jsonb_agg
jsonb_build_object least left length ln log lower lpad ltrim make_date make_timestamp max md5
min mod now nullif octet_length overlay pg_backend_pid pg_get_expr pg_is_in_recovery
pg_table_is_visible pg_typeof position power quote_ident quote_literal regexp_match
regexp_replace repeat replace reverse right round row_number rank dense_rank lag lead rpad
rtrim sign split_part sqrt stddev string_agg strpos substr substring sum to_char to_date
to_json to_jsonb to_number to_regclass to_regtype to_timestamp translate trim trunc unnest
upper variance version first_value last_value ntile percentile_cont array_to_string
string_to_array cardinality bool_and bool_or every to_hex date timestamp varchar char numeric
decimal int in exists any all some values filter over within
"""
_READ_ONLY_FUNCTIONS = frozenset(_FUNCTION_NAMES.split())
_WRITE_KEYWORDS = frozenset(("INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "TRUNCATE"))
_LOCKING_WORDS = frozenset(("UPDATE", "SHARE", "NO", "KEY"))
_READ_STARTS = frozenset(("SELECT", "WITH", "VALUES", "TABLE"))
_REFUSED_STARTS = {
    "LISTEN": "LISTEN does not work over a shared server connection",
    "NOTIFY": "NOTIFY does not work over a shared server connection",
    "PREPARE": "PREPARE does not work here; use the driver's prepared statements",
    "EXECUTE": "EXECUTE does not work here; use the driver's prepared statements",
    "DECLARE": "cursors of SQL do not work over a shared server connection",
    "COPY": "COPY is not supported",
    "LOAD": "LOAD does not work over a shared server connection",
}
_REFUSED_FUNCTIONS = frozenset(
    (
        "pg_advisory_lock",
        "pg_advisory_lock_shared",
        "pg_try_advisory_lock",
        "pg_try_advisory_lock_shared",
    )
)
_IGNORED_STARTS = frozenset(("UNLISTEN", "CLOSE", "DEALLOCATE"))
_BEGIN_STARTS = frozenset(("BEGIN", "START"))
_COMMIT_STARTS = frozenset(("COMMIT", "END"))
_ROLLBACK_STARTS = frozenset(("ROLLBACK", "ABORT"))
_SAVEPOINT_STARTS = frozenset(("SAVEPOINT", "RELEASE"))
_TRAILING_COMMENT = re.compile(r"/\*(?:(?!\*/).)*\*/\s*;?\s*$", re.DOTALL)
_TAG = re.compile(r"(\w+)\s*=\s*'([^']*)'")
_SESSION_SET = re.compile(
    r"^\s*set\s+(?:session\s+)?(?!local\b|transaction\b|constraints\b)(time\s+zone|[\w.]+)"
    r"\s*(?:=|\bto\b|\s)\s*(.*?)\s*;?\s*$",
    re.IGNORECASE | re.DOTALL,
)
_NAMED = re.compile(r"^\s*(?:show|reset|discard)\s+([\w. ]+?)\s*;?\s*$", re.IGNORECASE)

_EMPTY = Classification(StatementKind.EMPTY)
_WRITE = Classification(StatementKind.WRITE)
_READ = Classification(StatementKind.READ)


def split_comment(sql: str) -> tuple[str, str]:
    """Split off the trailing comment, so that texts with different tags share a cache entry."""
    if "*/" not in sql[-8:]:
        return sql, ""
    match = _TRAILING_COMMENT.search(sql)
    if match is None:
        return sql, ""
    return sql[: match.start()], match.group()


def comment_tags(comment: str) -> CommentTags:
    """Parse the tags of a trailing comment; their values are percent-decoded."""
    if not comment:
        return CommentTags()
    tags = {name: unquote(value) for name, value in _TAG.findall(comment)}
    return CommentTags(tags.get("request_id", ""), tags.get("traffic_class", ""))


def classify(sql: str) -> Classification:
    """Classify a text of one or several statements, without its trailing comment."""
    return _classify_cached(sql)


@lru_cache(maxsize=CACHED_STATEMENTS)
def _classify_cached(sql: str) -> Classification:
    try:
        statements = tokenize_statements(sql)
    except ValueError:
        return _WRITE  # the primary accepts any statement and answers with the error
    if not statements:
        return _EMPTY
    if len(statements) == 1:
        return _classify_one(sql, statements[0])
    parts = [_classify_one("", statement) for statement in statements]
    for part in parts:
        if part.kind is StatementKind.NOT_SUPPORTED:
            return part
    if any(part.kind in _SESSION_KINDS for part in parts):
        reason = "SET, RESET and SHOW must be sent as statements of their own"
        return Classification(StatementKind.NOT_SUPPORTED, reason=reason)
    if all(part.kind is StatementKind.READ for part in parts):
        return _READ
    return _WRITE


_SESSION_KINDS = frozenset((StatementKind.SET, StatementKind.RESET, StatementKind.SHOW))


def _classify_one(sql: str, tokens: list[Token]) -> Classification:
    first = tokens[0].text.upper().split()[0]
    if first in _READ_STARTS or first == "(":
        return _classify_query(tokens)
    if first in _REFUSED_STARTS:
        return Classification(StatementKind.NOT_SUPPORTED, reason=_REFUSED_STARTS[first])
    control = _classify_control(first, tokens)
    if control is not None:
        return control
    if first in ("SET", "RESET", "SHOW", "DISCARD"):
        return _classify_setting(first, sql, tokens)
    if first == "CREATE" and _has_word(tokens[:4], ("TEMP", "TEMPORARY")):
        reason = "temporary tables do not work over a shared server connection"
        return Classification(StatementKind.NOT_SUPPORTED, reason=reason)
    return _WRITE


def _classify_control(first: str, tokens: list[Token]) -> Classification | None:
    if first in _BEGIN_STARTS:
        words = " ".join(token.text.upper() for token in tokens)
        read_only = "READ ONLY" in words
        return Classification(StatementKind.BEGIN_READ_ONLY if read_only else StatementKind.BEGIN)
    if first in _COMMIT_STARTS:
        if _has_word(tokens, ("PREPARED",)):
            reason = "two-phase commit is not supported"
            return Classification(StatementKind.NOT_SUPPORTED, reason=reason)
        return Classification(StatementKind.COMMIT)
    if first in _ROLLBACK_STARTS:
        to_savepoint = _has_word(tokens, ("TO",))
        return Classification(StatementKind.SAVEPOINT if to_savepoint else StatementKind.ROLLBACK)
    if first in _SAVEPOINT_STARTS:
        return Classification(StatementKind.SAVEPOINT)
    if first in _IGNORED_STARTS:
        return Classification(StatementKind.RESET, name="none")
    return None


def _classify_setting(first: str, sql: str, tokens: list[Token]) -> Classification:
    if first == "SET":
        second = tokens[1].text.upper().split()[0] if len(tokens) > 1 else ""
        if not second:
            second = tokens[0].text.upper()
        if second in ("LOCAL", "TRANSACTION", "CONSTRAINTS"):
            return Classification(StatementKind.SET_LOCAL)
        match = _SESSION_SET.match(sql)
        if match is None:
            return Classification(StatementKind.SET)
        name = match.group(1).lower()
        name = "timezone" if name.startswith("time") and name.endswith("zone") else name
        return Classification(StatementKind.SET, name=name, value=match.group(2))
    match = _NAMED.match(sql)
    name = match.group(1).lower() if match else ""
    kind = StatementKind.SHOW if first == "SHOW" else StatementKind.RESET
    return Classification(kind, name=name)


def _has_word(tokens: list[Token], words: tuple[str, ...]) -> bool:
    return any(token.text.upper() in words for token in tokens)


def _classify_query(tokens: list[Token]) -> Classification:
    for index, token in enumerate(tokens):
        following = tokens[index + 1] if index + 1 < len(tokens) else None
        calls = following is not None and following.token_type is TokenType.L_PAREN
        word = token.text.lower()
        if calls and word in _REFUSED_FUNCTIONS:
            reason = "session advisory locks do not work over a shared server connection"
            return Classification(StatementKind.NOT_SUPPORTED, reason=reason)
        if _may_write(token, following, calls):
            return _WRITE
    return _READ


def _may_write(token: Token, following: Token | None, calls: bool) -> bool:
    if token.token_type in (TokenType.STRING, TokenType.NUMBER):
        return False
    word = token.text.upper()
    quoted = token.token_type is TokenType.IDENTIFIER
    if not quoted and word in _WRITE_KEYWORDS:
        return True
    if not quoted and word == "FOR" and following is not None:
        return following.text.upper().split()[0] in _LOCKING_WORDS
    if not calls:
        return False
    if token.token_type is TokenType.VAR or quoted:
        return token.text.lower() not in _READ_ONLY_FUNCTIONS
    return False
