"""Settings and operators' files, commands, the log format, and the README's table of errors."""

import json
import logging
import subprocess
import sys
import urllib.request
from pathlib import Path

import pytest

from orchidwind.elected.core.configuration import ClassMatcher, ClassSettings, parse_operator_file
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, SettingsError
from orchidwind.shared.logs import KeyValueFormatter
from orchidwind.shared.settings import ProxyOverrides, load_proxy_settings

ROOT = Path(__file__).parents[2]
GOOD = (ROOT / "examples" / "operators.toml").read_text()
FAULTS = {
    "unknown key": ("slots = 5", "slots = 5\nslotz = 5"),
    "wrong type": ("slots = 5", 'slots = "five"'),
    "missing zone": ('zone = "almadies" },', 'zone = "dakar-west" },'),
    "sum above the limit": ("slots = 5", "slots = 5\nzone_slots = { plateau = 3, rufisque = 3 }"),
    "unknown zone of slots": ("slots = 5", "slots = 5\nzone_slots = { nowhere = 1 }"),
    "instance twice": ('name = "airdata-c"', 'name = "airdata-a"'),
    "class twice": ('name = "dashboard"', 'name = "ingest"'),
    "weight of zero": ("weight = 2.0", "weight = 0.0"),
    "bad mode": ('acknowledge = "replicated"', 'acknowledge = "sometimes"'),
    "no TOML": ("zones = [", "zones = ["),
}


@pytest.mark.parametrize("name", list(FAULTS))
def test_each_fault_is_told_in_one_line(name, snapshot):
    old, new = FAULTS[name]
    assert old in GOOD
    text = GOOD.replace(old, new, 1) if name != "no TOML" else "zones = ["
    with pytest.raises(SettingsError) as caught:
        parse_operator_file(text.encode(), "operators.toml")
    message = str(caught.value)
    assert "\n" not in message
    assert message == snapshot


def test_database_that_stands_twice_is_refused():
    start = GOOD.index("[[databases]]")
    with pytest.raises(SettingsError, match="stands twice"):
        parse_operator_file((GOOD + GOOD[start:]).encode(), "operators.toml")


def test_example_files_are_good(tmp_path):
    assert parse_operator_file(GOOD.encode(), "x").databases[0].slots == 5
    settings = load_proxy_settings(
        ROOT / "examples" / "proxy.toml", ProxyOverrides(zone="elsewhere", caller_port=7)
    )
    assert (settings.zone, settings.caller_port) == ("elsewhere", 7)


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("caller_port = 70000", "not a port"),
        ('seeds = ["nowhere"]', "HOST:PORT"),
        ('host = "a.name"', "does not appear"),
        ("colour = 1", "unknown field"),
        ('caller_port = "x"', "Expected"),
    ],
)
def test_faults_of_a_settings_file(tmp_path, line, reason):
    path = tmp_path / "proxy.toml"
    path.write_text(f'name = "a"\nzone = "z"\nplatform_url = "http://x"\n{line}\n')
    with pytest.raises(SettingsError, match=reason):
        load_proxy_settings(path)


def command(*arguments):
    return subprocess.run(
        [sys.executable, "-c", "from orchidwind.commands.main import main; main()", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_check_says_one_line_and_exits_with_2(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(GOOD.replace("slots = 5", "slotz = 5"))
    done = command("check", str(path))
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert str(path) in done.stderr
    assert done.stdout == ""


def test_check_of_a_good_file():
    done = command("check", str(ROOT / "examples" / "operators.toml"))
    assert done.returncode == 0, done.stderr
    assert "1 databases in 3 zones" in done.stdout


def test_apply_without_a_platform_fails_and_says_so():
    example = str(ROOT / "examples" / "operators.toml")
    done = command("apply", example, "--platform-url", "http://127.0.0.1:9")
    assert done.returncode == 1
    assert done.stderr.count("\n") == 1


def test_status_and_operator_port(system):
    node = system.deployment.proxies[0]
    done = command("status", "--operator-url", node.operator_url)
    shown = json.loads(done.stdout)
    assert (shown["name"], shown["ready"], shown["draining"]) == (node.settings.name, True, False)
    assert {member["state"] for member in shown["members"]} == {"alive"}
    assert shown["databases"][0]["primary"]
    for path, words in (("healthz", "ok"), ("readyz", "ready"), ("metrics", "orchidwind_homes")):
        with urllib.request.urlopen(f"{node.operator_url}/{path}", timeout=5) as answer:
            assert words in answer.read().decode()


def test_log_line_is_key_value_pairs(snapshot):
    formatter = KeyValueFormatter(
        ["levelname", "message"], rename_fields={"levelname": "level", "message": "event"}
    )
    record = logging.LogRecord("x", logging.INFO, "f", 1, "proxy_started", None, None)
    record.zone, record.reason, record.empty = "a b", 'said "no"\nand left', ""
    assert formatter.format(record) == snapshot


def test_readme_tells_every_error():
    text = (ROOT / "README.md").read_text()
    rows = [line for line in text.splitlines() if line.startswith("| ") and " | " in line]
    for kind in ErrorKind:
        if kind is ErrorKind.STATEMENT_FAILED:
            continue
        row = next((line for line in rows if kind.value in line), "")
        assert ANSWERS[kind].sqlstate in row, f"{kind.value} is not in the README's table"
        assert f"| {ANSWERS[kind].ran.value} |" in row


def test_class_is_matched_by_tag_then_application_then_user():
    matcher = ClassMatcher(
        [
            ClassSettings("ingest", users=["station"], tags=["pm"]),
            ClassSettings("portal", application_names=["web"]),
        ]
    )
    assert matcher.match("station", "web", "pm").name == "ingest"
    assert matcher.match("station", "web", "").name == "portal"
    assert matcher.match("station", "", "").name == "ingest"
    assert matcher.match("x", "", "portal").name == "portal"
    assert matcher.match("x", "", "").name == "default"
