"""Import rules: the two proxies do not import each other, and their cores do no input or output."""

import ast
from pathlib import Path

import pytest

PRODUCT = Path(__file__).parents[2] / "src" / "orchidwind"
DRIVER_MODULES = ("asyncio", "socket", "time", "tornado", "psycopg", "fastavro", "threading")


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def imports_under(folder):
    for path in sorted((PRODUCT / folder).rglob("*.py")):
        for module in imported_modules(path):
            yield path, module


@pytest.mark.parametrize(
    ("folder", "unknown"),
    [
        ("elected", ("orchidwind.promoted", "orchidwind.platform")),
        ("promoted", ("orchidwind.elected", "orchidwind.platform")),
        ("platform", ("orchidwind.elected",)),
        ("shared", ("orchidwind.elected", "orchidwind.promoted", "orchidwind.platform")),
    ],
)
def test_a_folder_imports_nothing_of_the_other_proxy(folder, unknown):
    for path, module in imports_under(folder):
        assert not module.startswith(unknown), (path, module)


@pytest.mark.parametrize("folder", ["shared/core", "elected/core", "promoted/core"])
def test_the_core_has_no_input_or_output(folder):
    for path, module in imports_under(folder):
        assert module.split(".")[0] not in DRIVER_MODULES, (path, module)
