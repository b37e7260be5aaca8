"""Compares the names that operators and their tools rely on with `recorded_names.json`.

These are the metrics on `/metrics`, commands and their options, keys of settings files, and the
answers to errors. A changed name breaks dashboards, scripts or settings; a new name is added to the
file by hand.
"""

import argparse
import importlib
import json
import sys
import tomllib
from collections.abc import Callable, Iterator
from enum import Enum
from pathlib import Path
from typing import Any, get_args

import msgspec
import pytest
from prometheus_client.parser import text_string_to_metric_families

from orchidwind.elected.core.configuration import OperatorFile
from orchidwind.elected.core.statements import Outcome, RequestKind
from orchidwind.elected.metrics import Metrics
from orchidwind.platform.settings import SETTINGS_VARIABLE, PlatformSettings
from orchidwind.promoted.core.commands import CommandKind
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.shared.core.admission import RefusalReason
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran, RequestError
from orchidwind.shared.core.positions import Position
from orchidwind.shared.settings import ProxySettings
from orchidwind.shared.silence import ConnectionKind, SilentConnection

ROOT = Path(__file__).parents[2]
RECORDED: dict[str, Any] = json.loads((Path(__file__).parent / "recorded_names.json").read_text())

# --- metrics --------------------------------------------------------------------------------------

# Prefix of the process metrics of the client library, which depend on the machine.
PROCESS_METRICS_PREFIX = "process_"


def parse_metrics(rendered: bytes) -> dict[str, Any]:
    """Maps the name of each metric to its type, samples, and the values of each label."""
    return {
        family.name: {"type": family.type, "samples": samples(family.samples)}
        for family in text_string_to_metric_families(rendered.decode())
        if not family.name.startswith(PROCESS_METRICS_PREFIX)
    }


def samples(found: Any) -> dict[str, dict[str, list[str]]]:
    """Maps the name of each sample to its labels and all values that they have."""
    named: dict[str, dict[str, list[str]]] = {}
    for sample in found:
        labels = named.setdefault(sample.name, {})
        for label, value in sample.labels.items():
            values = labels.setdefault(label, [])
            if value not in values:
                values.append(value)
    return named


def elected_metrics() -> dict[str, Any]:
    """Returns the metrics of a proxy for elected groups, each recorded at least once."""
    metrics = Metrics()
    for kind in RequestKind:
        metrics.finished(kind, "ingest", Outcome(1), 0.001)
    for is_replica in (False, True):
        outcome = Outcome(1, instance="a", is_replica=is_replica, position=Position(1, 1))
        metrics.finished(RequestKind.READ, "ingest", outcome, 0.001)
    for error in ErrorKind:
        answered = RequestError(error, "x")
        metrics.finished(RequestKind.READ, "ingest", Outcome(1, answered), 0.001)
        metrics.error_answered(answered)
    return parse_metrics(metrics.render())


def silent(kind: ConnectionKind) -> SilentConnection:
    return SilentConnection(kind, "i-0", 1.0, 1.0, 1, "closed")


def promoted_metrics() -> dict[str, Any]:
    """Returns the metrics of a proxy for promoted groups, each recorded at least once."""
    metrics = ProxyMetrics()
    for command in CommandKind:
        metrics.finished("latest", command, None, 0.001)
    for error in ErrorKind:
        metrics.finished("latest", CommandKind.READ, error, 0.001)
    for reason in RefusalReason:
        metrics.refused(reason.value)
    for kind in ConnectionKind:
        metrics.silent(silent(kind))
    metrics.failover("crashed", "done")
    metrics.message("statement")
    metrics.attempt("read", "replica", "done")
    metrics.store_call("GET", "kind")
    metrics.view_reported("members", "content", 3)
    metrics.forwarded("ok")
    metrics.rerouted("no_primary")
    metrics.room_query("lent")
    metrics.watch_age("members", lambda: 1.0)
    return parse_metrics(metrics.render())


METRICS: dict[str, Callable[[], dict[str, Any]]] = {
    "elected": elected_metrics,
    "promoted": promoted_metrics,
}


@pytest.mark.parametrize("half", list(METRICS))
def test_metrics_have_the_recorded_names(half: str) -> None:
    assert METRICS[half]() == RECORDED["figures"][half]


@pytest.mark.parametrize("half", list(METRICS))
def test_each_metric_is_recorded_with_its_labels(half: str) -> None:
    """Guards against a metric not recorded above: its labels show only after the first value."""
    assert [name for name, answered in METRICS[half]().items() if not answered["samples"]] == []


# --- commands -------------------------------------------------------------------------------------


class ParserFound(Exception):
    """Raised instead of parsing the command line; carries the parser."""

    def __init__(self, parser: argparse.ArgumentParser) -> None:
        super().__init__("parser found")
        self.parser = parser


def scripts() -> dict[str, str]:
    """Returns the commands that the package installs, each with its function as MODULE:NAME."""
    with (ROOT / "pyproject.toml").open("rb") as file:
        return tomllib.load(file)["project"]["scripts"]


def parser_of(target: str, monkeypatch: pytest.MonkeyPatch) -> argparse.ArgumentParser:
    """Returns the argument parser of a command without running the command."""

    def found(parser: argparse.ArgumentParser, *_: Any, **__: Any) -> None:
        raise ParserFound(parser)

    module, _, function = target.partition(":")
    main = getattr(importlib.import_module(module), function)
    monkeypatch.setattr(sys, "argv", ["command"])
    monkeypatch.setattr(argparse.ArgumentParser, "parse_args", found)
    monkeypatch.setattr(argparse.ArgumentParser, "parse_known_args", found)
    with pytest.raises(ParserFound) as caught:
        main()
    return caught.value.parser


def command_form(parser: argparse.ArgumentParser) -> dict[str, Any]:
    """Describes the options, positional arguments and subcommands of a parser."""
    form: dict[str, Any] = {}
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            subcommands = action.choices.items()
            form["commands"] = {name: command_form(item) for name, item in subcommands}
        elif not isinstance(action, argparse._HelpAction):
            name = " ".join(action.option_strings) or action.dest
            form[name] = argument_form(action)
    return form


def argument_form(action: argparse.Action) -> dict[str, Any]:
    """Describes an argument: whether it is required, its choices and its default."""
    form: dict[str, Any] = {"required": action.required}
    if action.choices is not None:
        form["choices"] = [str(choice) for choice in action.choices]
    if action.default is not argparse.SUPPRESS:
        form["default"] = shown(action.default)
    return form


def shown(value: Any) -> Any:
    """Returns a default value in the form that JSON can hold."""
    if isinstance(value, Enum):
        return value.name
    return str(value) if isinstance(value, Path) else value


def test_the_commands_are_the_recorded_ones() -> None:
    assert list(scripts()) == list(RECORDED["commands"])


@pytest.mark.parametrize("name", list(RECORDED["commands"]))
def test_a_command_takes_the_recorded_options(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    assert command_form(parser_of(scripts()[name], monkeypatch)) == RECORDED["commands"][name]


# --- keys of files --------------------------------------------------------------------------------

FILES: dict[str, type[msgspec.Struct]] = {
    "proxy": ProxySettings,
    "platform": PlatformSettings,
    "operators": OperatorFile,
}


def keys(form: type[msgspec.Struct], prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yields each key of a settings file with its default."""
    for field in msgspec.structs.fields(form):
        key = f"{prefix}{field.encode_name}"
        inner = struct_within(field.type)
        if inner is None:
            yield key, default(field)
        else:
            yield key, "table that must be given" if field.required else "table"
            yield from keys(inner, f"{key}.")


def struct_within(form: Any) -> type[msgspec.Struct] | None:
    """Returns the struct that a type is or contains; None if there is none."""
    if isinstance(form, type) and issubclass(form, msgspec.Struct):
        return form
    return next((found for item in get_args(form) if (found := struct_within(item))), None)


def default(field: msgspec.structs.FieldInfo) -> Any:
    """Returns the default of a key, or "must be given" for a required key."""
    if field.required:
        return "must be given"
    if field.default_factory is not msgspec.NODEFAULT:
        return field.default_factory()
    return field.default.value if isinstance(field.default, Enum) else field.default


@pytest.mark.parametrize("name", list(FILES))
def test_a_file_has_the_recorded_keys(name: str) -> None:
    assert dict(keys(FILES[name])) == RECORDED["files"][name]


def test_the_environment_names_the_settings_file() -> None:
    assert RECORDED["environment"] == [SETTINGS_VARIABLE]


# --- errors ---------------------------------------------------------------------------------------


def answer_row(kind: ErrorKind) -> dict[str, Any]:
    """Returns the parts of the answer to a caller that depend on the kind of error."""
    answer = ANSWERS[kind]
    return {
        "sqlstate": answer.sqlstate,
        "ran": answer.ran.value,
        "retry_after_milliseconds": answer.retry_after_milliseconds,
        "severity": answer.severity,
    }


def test_errors_have_the_recorded_answers() -> None:
    assert {kind.value: answer_row(kind) for kind in ErrorKind} == RECORDED["errors"]


def test_every_kind_of_error_has_an_answer() -> None:
    assert set(ANSWERS) == set(ErrorKind)


def test_the_values_of_ran_are_the_recorded_ones() -> None:
    assert [ran.value for ran in Ran] == RECORDED["ran"]
