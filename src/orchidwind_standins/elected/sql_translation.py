"""Translates PostgreSQL's SQL to SQLite's and infers parameter and column types."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from pg_mimic import types as codec
from sqlglot import exp, parse_one
from sqlglot.errors import ParseError, TokenError

from orchidwind.elected.core.sql_text import space_parameters
from orchidwind_standins.elected.sql_types import sqlite_type, type_oid

CATALOG_TABLE = "standin_catalog"
NOW_MARKER = "'@@now@@'"
_MAXIMUM_CACHED_TRANSLATIONS = 4096
_SYSTEM_VIEWS = {
    "pg_control_checkpoint()": "(SELECT standin_timeline() AS timeline_id)",
    "pg_stat_activity": "(SELECT json_extract(value, '$[0]') AS pid,"
    " json_extract(value, '$[1]') AS state FROM json_each(standin_activity()))",
    "pg_stat_wal_receiver": "(SELECT standin_received_timeline() AS received_tli)",
}
_CATALOG_SCHEMAS = ("pg_catalog", "public", "orchidwind")


class TranslationError(Exception):
    """The stand-in cannot parse or does not support a statement (SQLSTATE 42601)."""


@dataclass(frozen=True, slots=True)
class ResultColumn:
    """Name and type OID of a result column."""

    name: str
    oid: int


@dataclass(frozen=True, slots=True)
class Translated:
    """A statement translated for SQLite.

    `command` is the command tag without row counts. `catalog` lists the columns (table, name, type)
    that a CREATE TABLE declares; `dropped` is the table that a DROP TABLE removes.
    """

    sql: str
    command: str
    writes: bool
    parameter_types: tuple[int, ...]
    columns: tuple[ResultColumn, ...]
    catalog: tuple[tuple[str, str, int], ...] = ()
    dropped: str = ""


Catalog = dict[str, dict[str, int]]


class Translator:
    """Translates statements against a catalog of declared columns, with a bounded cache."""

    def __init__(self) -> None:
        self.catalog: Catalog = {}
        self._cache: dict[tuple[str, tuple[int, ...]], Translated] = {}

    def set_catalog(self, catalog: Catalog) -> None:
        """Replace the catalog of declared columns and clear the cache."""
        self.catalog = catalog
        self._cache.clear()

    def translate(self, sql: str, parameter_types: tuple[int, ...] = ()) -> Translated:
        """Translate one statement; raises TranslationError."""
        key = (sql, parameter_types)
        cached = self._cache.get(key)
        if cached is None:
            if len(self._cache) >= _MAXIMUM_CACHED_TRANSLATIONS:
                self._cache.clear()
            cached = self._cache[key] = self._translate(sql, parameter_types)
        return cached

    def _translate(self, sql: str, given_types: tuple[int, ...]) -> Translated:
        try:
            tree = parse_one(space_parameters(sql), read="postgres")
        except (ParseError, TokenError) as error:
            raise TranslationError(str(error).splitlines()[0]) from error
        if isinstance(tree, exp.Command):
            raise TranslationError(f"not understood: {sql[:60]}")
        inference = _TypeInference(self.catalog, tree, given_types)
        catalog, dropped = _catalog_changes(tree)
        result = inference.result_columns()
        types = inference.parameter_types()
        _rewrite_for_sqlite(tree)
        return Translated(
            sql=_replace_system_views(tree.sql(dialect="sqlite")),
            command=_command(tree),
            writes=not isinstance(tree, exp.Query | exp.Values),
            parameter_types=types,
            columns=result,
            catalog=catalog,
            dropped=dropped,
        )


def _replace_system_views(sql: str) -> str:
    for source, query in _SYSTEM_VIEWS.items():
        sql = re.sub(re.escape(source), query, sql, flags=re.IGNORECASE)
    return sql


def _command(tree: exp.Expr) -> str:
    if isinstance(tree, exp.Create | exp.Drop | exp.Alter):
        return f"{type(tree).__name__.upper()} {tree.args.get('kind') or 'TABLE'}"
    if isinstance(tree, exp.Query | exp.Values):
        return "SELECT"
    return type(tree).__name__.upper()


def _catalog_changes(
    tree: exp.Expr,
) -> tuple[tuple[tuple[str, str, int], ...], str]:
    """Return the columns that a CREATE TABLE declares and the table that a DROP TABLE removes."""
    if isinstance(tree, exp.Drop) and tree.args.get("kind") == "TABLE":
        return (), tree.this.name
    if not isinstance(tree, exp.Create) or tree.args.get("kind") != "TABLE":
        return (), ""
    schema = tree.this
    if not isinstance(schema, exp.Schema):
        return (), ""
    table = schema.this.name
    declared = []
    for column in schema.expressions:
        if isinstance(column, exp.ColumnDef):
            kind = column.args.get("kind")
            declared.append((table, column.name, type_oid(kind) if kind else codec.TEXT))
    return tuple(declared), ""


class _TypeInference:
    """Infers parameter and result types from declared columns, casts and literals.

    A type that cannot be inferred is taken to be text.
    """

    def __init__(self, catalog: Catalog, tree: exp.Expr, given_types: tuple[int, ...]) -> None:
        self._tree = tree
        self._declared_types = given_types
        self._columns: dict[str, int] = {}
        for table in tree.find_all(exp.Table):
            self._columns.update(catalog.get(table.name, {}))

    def parameter_types(self) -> tuple[int, ...]:
        inferred: dict[int, int] = {}
        for parameter in self._tree.find_all(exp.Parameter):
            number = int(parameter.name)
            if inferred.get(number, codec.TEXT) == codec.TEXT:
                inferred[number] = self._parameter_type(parameter, number)
        count = (
            max([len(self._declared_types), *inferred]) if inferred or self._declared_types else 0
        )
        return tuple(
            self._resolved_parameter_type(number, inferred) for number in range(1, count + 1)
        )

    def _resolved_parameter_type(self, number: int, inferred: dict[int, int]) -> int:
        given = self._declared_types[number - 1] if number <= len(self._declared_types) else 0
        if given not in (0, codec.UNKNOWN):
            return given
        return inferred.get(number, codec.TEXT)

    def _parameter_type(self, parameter: exp.Parameter, number: int) -> int:
        if number <= len(self._declared_types) and self._declared_types[number - 1] not in (
            0,
            codec.UNKNOWN,
        ):
            return self._declared_types[number - 1]
        parent = parameter.parent
        if isinstance(parent, exp.Cast):
            return type_oid(parent.to)
        if isinstance(parent, exp.Limit | exp.Offset):
            return codec.INT8
        if isinstance(parent, exp.Tuple):
            return self._inserted_type(parameter, parent)
        if isinstance(parent, exp.Binary):
            other = parent.expression if parent.this is parameter else parent.this
            return self._infer_type(other)
        if isinstance(parent, exp.In):
            return self._infer_type(parent.this)
        if isinstance(parent, exp.Between):
            return self._infer_type(parent.this)
        return codec.TEXT

    def _inserted_type(self, parameter: exp.Parameter, row: exp.Tuple) -> int:
        insert = row.find_ancestor(exp.Insert)
        if insert is None or not isinstance(insert.this, exp.Schema | exp.Table):
            return codec.TEXT
        index = next(i for i, item in enumerate(row.expressions) if item is parameter)
        if isinstance(insert.this, exp.Schema):
            names = [column.name for column in insert.this.expressions]
        else:
            names = list(self._columns)
        return self._columns.get(names[index], codec.TEXT) if index < len(names) else codec.TEXT

    def result_columns(self) -> tuple[ResultColumn, ...]:
        tree = self._tree
        if isinstance(tree, exp.Query):
            selected = tree.selects
        else:
            returning = tree.args.get("returning")
            selected = returning.expressions if returning else []
        columns: list[ResultColumn] = []
        for item in selected:
            if isinstance(item, exp.Star) or isinstance(item.unalias(), exp.Star):
                columns.extend(ResultColumn(name, oid) for name, oid in self._columns.items())
            else:
                columns.append(ResultColumn(_output_name(item), self._infer_type(item.unalias())))
        return tuple(columns)

    def _infer_type(self, node: exp.Expr | None) -> int:
        if node is None:
            return codec.TEXT
        if isinstance(node, exp.Paren | exp.Alias | exp.Neg | exp.Min | exp.Max | exp.Subquery):
            return self._infer_type(node.this)
        if isinstance(node, exp.Select):
            return self._infer_type(node.selects[0].unalias())
        for kinds, infer in _TYPE_RULES:
            if isinstance(node, kinds):
                return infer(self, node)
        return codec.TEXT

    def _column_type(self, node: exp.Expr) -> int:
        return self._columns.get(node.name, codec.TEXT)

    def _literal_type(self, node: exp.Expr) -> int:
        if node.args.get("is_string"):
            return codec.TEXT
        if not node.name.isdigit():
            return codec.NUMERIC
        return codec.INT4 if int(node.name) < 2**31 else codec.INT8

    def _parameter_node_type(self, node: exp.Expr) -> int:
        number = int(node.name)
        return (
            self._declared_types[number - 1] if number <= len(self._declared_types) else codec.TEXT
        )

    def _first_argument_type(self, node: exp.Expr) -> int:
        return self._infer_type(node.this)

    def _arithmetic_type(self, node: exp.Expr) -> int:
        types = {self._infer_type(node.this), self._infer_type(node.expression)}
        for wide in (codec.FLOAT8, codec.NUMERIC, codec.INT8, codec.INT4):
            if wide in types:
                return wide
        return codec.TEXT

    def _sum_type(self, node: exp.Expr) -> int:
        inner = self._infer_type(node.this)
        return codec.INT8 if inner in (codec.INT2, codec.INT4, codec.INT8) else inner

    def _function_type(self, node: exp.Expr) -> int:
        return _FUNCTION_TYPES.get(node.name.lower(), codec.TEXT)


_FUNCTION_TYPES = {
    "pg_is_in_recovery": codec.BOOL,
    "pg_backend_pid": codec.INT4,
    "standin_timeline": codec.INT4,
}
_TypeRule = tuple[tuple[type, ...], Callable[[_TypeInference, exp.Expr], int]]
_TYPE_RULES: list[_TypeRule] = [
    ((exp.Column,), _TypeInference._column_type),
    ((exp.Literal,), _TypeInference._literal_type),
    ((exp.Cast,), lambda typing, node: type_oid(node.args["to"])),
    ((exp.Parameter,), _TypeInference._parameter_node_type),
    ((exp.Count,), lambda typing, node: codec.INT8),
    ((exp.Boolean, exp.Predicate, exp.Not, exp.Connector), lambda typing, node: codec.BOOL),
    ((exp.Sum,), _TypeInference._sum_type),
    ((exp.Avg,), lambda typing, node: codec.FLOAT8),
    ((exp.Coalesce,), _TypeInference._first_argument_type),
    ((exp.Case,), lambda typing, node: typing._infer_type(node.args["ifs"][0].args["true"])),
    ((exp.CurrentTimestamp,), lambda typing, node: codec.TIMESTAMPTZ),
    ((exp.Binary,), _TypeInference._arithmetic_type),
    ((exp.Anonymous,), _TypeInference._function_type),
]


def _output_name(item: exp.Expr) -> str:
    if item.alias_or_name:
        return item.alias_or_name
    if isinstance(item, exp.Func):
        return item.sql_name().lower()
    return "?column?"


def _rewrite_for_sqlite(tree: exp.Expr) -> None:
    for parameter in list(tree.find_all(exp.Parameter)):
        parameter.replace(exp.Placeholder(this=parameter.name))
    for placeholder in tree.find_all(exp.Placeholder):
        placeholder.replace(exp.Var(this=f"?{placeholder.name}"))
    for dot in list(tree.find_all(exp.Dot)):
        if dot.this.name in _CATALOG_SCHEMAS:
            dot.replace(dot.expression)
    for cast in list(tree.find_all(exp.Cast)):
        cast.replace(_rewrite_cast(cast))
    for now in list(tree.find_all(exp.CurrentTimestamp)):
        now.replace(exp.Var(this=NOW_MARKER))
    for table in tree.find_all(exp.Table):
        if table.db in _CATALOG_SCHEMAS:
            table.set("db", None)
    if isinstance(tree, exp.Create):
        _rewrite_create(tree)
        for ordered in list(tree.find_all(exp.Ordered)):
            ordered.replace(ordered.this)
    for select in tree.find_all(exp.Select):
        select.set("locks", None)


def _rewrite_cast(cast: exp.Cast) -> exp.Expr:
    oid = type_oid(cast.to)
    if isinstance(cast.this, exp.Var):
        return cast.this.copy()
    if oid == codec.BOOL:
        return exp.func("standin_bool", cast.this.copy())
    if oid == codec.BYTEA:
        return exp.func("standin_bytea", cast.this.copy())
    return exp.cast(cast.this.copy(), sqlite_type(oid))


def _rewrite_create(tree: exp.Create) -> None:
    if not isinstance(tree.this, exp.Schema):
        return
    tree.set("properties", None)
    for column in tree.this.expressions:
        if not isinstance(column, exp.ColumnDef):
            continue
        kind = column.args.get("kind")
        if kind is None:
            continue
        serial = kind.this in (exp.DataType.Type.SERIAL, exp.DataType.Type.BIGSERIAL)
        column.set("kind", exp.DataType.build(sqlite_type(type_oid(kind)), dialect="sqlite"))
        if serial:
            column.set("constraints", [exp.ColumnConstraint(kind=exp.PrimaryKeyColumnConstraint())])
