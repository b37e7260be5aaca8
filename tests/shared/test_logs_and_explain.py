"""Logging that never blocks on the reader, and the lines that explain a request."""

import contextlib
import logging
import os
import subprocess
import sys

import pytest

from orchidwind.commands.explain import RequestNotFound, explain_request, read_logs
from orchidwind.platform.settings import load_platform_settings
from orchidwind.shared.core.errors import SettingsError
from orchidwind.shared.logs import NonBlockingHandler, configure_logging, log_event


def record(text):
    return logging.LogRecord("x", logging.INFO, "", 0, text, None, None)


def test_a_reader_that_stops_blocks_nothing_and_is_told_what_it_missed():
    reading, writing = os.pipe()
    handler = NonBlockingHandler(writing, max_buffered_lines=50)
    handler.setFormatter(logging.Formatter("%(message)s"))
    line = "x" * 1000
    for _ in range(2000):  # far more than the pipe and the buffer hold
        handler.emit(record(line))
    assert handler.dropped > 1500
    os.set_blocking(reading, False)
    received = b""
    for _ in range(200):
        try:
            received += os.read(reading, 65536)
        except BlockingIOError:
            handler.emit(record("again"))
            if b"again" in received:
                break
    lines = received.split(b"\n")
    assert all(set(item) <= set(b"x") for item in lines[:50])
    assert any(item.startswith(b"level=WARNING event=log_lines_dropped count=") for item in lines)
    os.close(reading)
    os.close(writing)


def test_a_closed_reader_is_no_error():
    reading, writing = os.pipe()
    handler = NonBlockingHandler(writing)
    handler.setFormatter(logging.Formatter("%(message)s"))
    os.close(reading)
    handler.emit(record("gone"))
    os.close(writing)


@contextlib.contextmanager
def logged_to(path):
    """Sends what is logged to a file, as the proxy front-1 does."""
    root = logging.getLogger()
    before = (root.handlers, root.level)
    with path.open("wb") as log:
        configure_logging("INFO", "front-1", log.fileno())
        try:
            yield
        finally:
            root.handlers, root.level = before


@pytest.mark.parametrize(
    "value", ["plain", "", "two words", 'a "quoted" word', "back\\slash n", "a\nb\r\tc", "\\n "]
)
def test_a_field_is_read_as_it_was_logged(value, tmp_path):
    """Guards against fields that keep the escapes of the line: explain compares their values."""
    path = tmp_path / "proxy.log"
    with logged_to(path):
        log_event("primary_changed", reason=value)
    assert [line.fields["reason"] for line in read_logs([path])] == [value]


def test_a_request_is_followed_from_its_id_to_what_its_proxy_believed(tmp_path, capfd):
    path = tmp_path / "proxy.log"
    with logged_to(path):
        log_event("primary_changed", group="g", instance="i-2", term=4)
        log_event("primary_changed", group="h", instance="i-7", term=9)
        log_event("request_served", request_id="other", milliseconds=1)
        log_event("request_failed", request_id="a1", group="g", reason="outcome_unknown")
    shown = explain_request(read_logs([path]), "a1")
    assert len(shown) == 2
    assert shown[0].startswith("  before:")
    assert "event=primary_changed" in shown[0]
    assert "reason=outcome_unknown" in shown[1]
    with pytest.raises(RequestNotFound):
        explain_request(read_logs([path]), "a2")


def test_a_refusal_is_explained_by_the_homes_that_were_asked(tmp_path):
    path = tmp_path / "proxy.log"
    attempts = "3: p-2:home: p-2:rerouted:no_primary:to=p-3 p-3:home:"
    with logged_to(path):
        log_event("command_rerouted", group="h", home="p-2", other="p-3", request_id="b9")
        log_event("command_rerouted", group="g", home="p-2", other="p-3", request_id="b1")
        log_event("request_failed", request_id="a1", group="g", attempts=attempts)
    shown = explain_request(read_logs([path]), "a1")
    assert [line.split("event=")[1].split()[0] for line in shown] == [
        "command_rerouted",
        "request_failed",
    ]
    assert "home=p-2" in shown[0]


def test_a_commit_is_followed_from_its_id_to_the_change_of_primary_after_it(tmp_path):
    at = "2026-01-02 03:04:0{}.000000+00:00"
    lines = [
        ("failover_choice node=p-2 group=g chosen=i-1", 4),
        ("failover_choice node=p-2 group=h chosen=i-9", 4),
        ('commits_acknowledged node=p-1 group=g before_term=3 commits="a1@2.7 b2@2.8"', 5),
        ("promotion_sent node=p-2 group=g instance=i-1", 9),
    ]
    path = tmp_path / "proxies.log"
    path.write_text(
        "".join(f'level=INFO event={text} at="{at.format(second)}"\n' for text, second in lines)
    )
    shown = explain_request(read_logs([path]), "b2")
    assert [line.split("event=")[1].split()[0] for line in shown] == [
        "commits_acknowledged",
        "failover_choice",
    ]
    assert "group=g" in shown[1]
    with pytest.raises(RequestNotFound):
        explain_request(read_logs([path]), "c3")


def test_platform_settings_are_checked_with_file_key_and_reason(tmp_path):
    path = tmp_path / "local.json"
    path.write_text('{"node_name": 3}')
    with pytest.raises(SettingsError) as refused:
        load_platform_settings(path)
    assert refused.value.key == "$.node_name"
    run = subprocess.run(
        [
            sys.executable,
            "-c",
            "from orchidwind.commands.main import main; main()",
            "check",
            str(path),
        ],
        capture_output=True,
        text=True,
    )
    assert run.returncode == 2
    assert f"{path}: $.node_name:" in run.stderr
