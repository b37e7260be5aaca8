"""Allocation of ports for benchmark runs that share a machine."""

import subprocess
import sys

from orchidwind_bench.processes import free_ports

PRINT_PORTS = (
    "import sys; from orchidwind_bench.processes import free_ports; print(free_ports(200)); "
)


def test_concurrent_runs_get_distinct_ports():
    """Two runs that start in the same second must not get the same port.

    With a port allocated twice, one of the proxies fails to listen.
    """
    code = PRINT_PORTS + "sys.stdout.flush(); sys.stdin.read()"
    runs = [
        subprocess.Popen([sys.executable, "-c", code], stdin=-1, stdout=-1, text=True)
        for _ in range(8)
    ]
    allocated = []
    for run in runs:
        allocated.extend(eval(run.stdout.readline()))
    for run in runs:
        run.communicate("", timeout=10)
    assert len(allocated) == len(set(allocated)) == 8 * 200


def test_a_run_can_allocate_ports_repeatedly():
    ports = free_ports(30)
    assert len(set(ports)) == 30
    assert set(free_ports(30)).isdisjoint(ports)
    assert len(set(free_ports(900))) == 900
