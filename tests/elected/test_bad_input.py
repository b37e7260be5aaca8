"""Malformed input and misbehaving callers get an error and do not affect other sessions."""

import json
import os
import socket
import struct
import time
import urllib.request

import psycopg
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.elected.network import codec
from orchidwind.elected.postgres.wire import FrameReader, ProtocolViolation

SILENT_CONNECTIONS = 5_000


@given(st.binary(max_size=300), st.integers(1, 50))
def test_frame_reader_splits_or_rejects_any_bytes(data, step):
    reader = FrameReader()
    consumed = 0
    try:
        for start in range(0, len(data), step):
            reader.feed(data[start : start + step])
            while (message := reader.message()) is not None:
                consumed += 1 + 4 + len(message[1])
    except ProtocolViolation:
        return
    assert consumed <= len(data)


@given(st.binary(max_size=200))
def test_peer_codec_decodes_or_rejects_any_bytes(data):
    for decode in (codec.decode_link, codec.decode_datagram):
        try:
            decode(data)
        except codec.DecodeError:
            continue


def connect_raw(system, proxy=0):
    return socket.create_connection(("127.0.0.1", system.caller_port(proxy)), timeout=10)


def answers_queries(system):
    with psycopg.connect(system.dsn(0), autocommit=True) as conn:
        return conn.execute("SELECT 1").fetchone() == (1,)


def startup(user="app", database="tests"):
    body = b"".join(part.encode() + b"\0" for part in ("user", user, "database", database))
    return struct.pack("!II", len(body) + 9, 196608) + body + b"\0"


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack("!II", 2**31, 196608),
        struct.pack("!II", 0, 196608),
        struct.pack("!II", 9, 196608) + b"\0",
        struct.pack("!II", 16, 3 << 20) + b"x" * 8,
        startup() + b"p" + struct.pack("!I", 2**30),
        startup() + b"Q" + struct.pack("!I", 5) + b"\0",
        startup() + b"p" + struct.pack("!I", 8) + b"\xff\xff\xff\xff",
        bytes(range(256)) * 40,
    ],
)
def test_malformed_input_gets_an_error(system, data):
    with connect_raw(system) as conn:
        conn.sendall(data)
        received = b""
        while chunk := conn.recv(4096):
            received += chunk
    assert b"08P01" in received or b"28P01" in received
    assert answers_queries(system)


@pytest.mark.parametrize(
    ("types", "formats", "values"),
    [
        ([2**32 - 1], [0], [b"x"]),
        ([23], [1], [b"not four bytes"]),
        ([23], [0], [b"not a number"]),
        ([1082], [1], [b"\x7f\xff\xff\xff"]),
        ([0], [0], [b"x", b"y"]),
    ],
)
def test_bad_parameters_do_not_affect_other_sessions(system, types, formats, values):
    with psycopg.connect(system.dsn(0), autocommit=True) as conn:
        formats = formats * len(values)
        response = conn.pgconn.exec_params(
            b"SELECT $1", values, param_types=types * len(values), param_formats=formats
        )
        assert response.status in (
            psycopg.pq.ExecStatus.FATAL_ERROR,
            psycopg.pq.ExecStatus.TUPLES_OK,
        )
    assert answers_queries(system)


def database_reports(system):
    result = []
    for node in system.deployment.proxies:
        with urllib.request.urlopen(f"{node.operator_url}/status", timeout=5) as answer:
            result += json.load(answer)["databases"]
    return result


def wait_for(condition, seconds=15):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.05)
    return True


def test_disconnect_in_a_transaction_rolls_it_back(system):
    with psycopg.connect(system.dsn(0), autocommit=True) as setup:
        setup.execute("CREATE TABLE vanished (id int)")
    for _ in range(12):
        conn = psycopg.connect(system.dsn(0))
        conn.execute("INSERT INTO vanished VALUES (1)")
        with socket.socket(fileno=os.dup(conn.pgconn.socket)) as sock:
            sock.shutdown(socket.SHUT_RDWR)
    assert wait_for(
        lambda: all(item["open_transactions"] == 0 for item in database_reports(system))
    )
    with psycopg.connect(system.dsn(0), autocommit=True) as check:
        assert check.execute("SELECT count(*) FROM vanished").fetchone() == (0,)


def test_disconnect_during_a_statement_frees_the_connection(system):
    connections = [psycopg.connect(system.dsn(0), autocommit=True) for _ in range(6)]
    for conn in connections:
        conn.pgconn.send_query(b"SELECT pg_sleep(600)")
    assert wait_for(lambda: queued_requests(system) >= 2)
    for conn in connections:
        with socket.socket(fileno=os.dup(conn.pgconn.socket)) as sock:
            sock.shutdown(socket.SHUT_RDWR)
    with psycopg.connect(system.dsn(0), autocommit=True) as check:
        assert check.execute("SELECT pg_sleep(0.01)").statusmessage == "SELECT 1"


def queued_requests(system):
    return sum(
        item["queued_requests"]
        for report in database_reports(system)
        for item in report["instances"]
    )


def test_caller_that_stops_reading_does_not_block_others(system):
    with psycopg.connect(system.dsn(0), autocommit=True) as setup:
        setup.execute("CREATE TABLE wide (id int, t text)")
        values = ", ".join(f"({n}, '{'x' * 2000}')" for n in range(500))
        setup.execute(f"INSERT INTO wide VALUES {values}")
    slow_readers = [psycopg.connect(system.dsn(0), autocommit=True) for _ in range(8)]
    for conn in slow_readers:
        conn.pgconn.send_query(b"SELECT a.t FROM wide a, wide b WHERE b.id < 20")
    assert answers_queries(system)
    with psycopg.connect(system.dsn(0), autocommit=True) as writer:
        writer.execute("INSERT INTO wide VALUES (-1, 'after')")
    for conn in slow_readers:
        conn.close()


def test_silent_connections_do_not_affect_others(system):
    silent = []
    try:
        for _ in range(SILENT_CONNECTIONS):
            silent.append(connect_raw(system, proxy=1))
        with psycopg.connect(system.dsn(1), autocommit=True) as conn:
            assert conn.execute("SELECT 1").fetchone() == (1,)
    finally:
        for conn in silent:
            conn.close()
    assert answers_queries(system)
