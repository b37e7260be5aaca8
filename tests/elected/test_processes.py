"""What the bench's runs share a machine by."""

import subprocess
import sys

from orchidwind_bench.processes import free_ports

DRAW = "import sys; from orchidwind_bench.processes import free_ports; print(free_ports(200)); "


def test_runs_side_by_side_draw_no_port_twice():
    """Found by two soaks that started in the same second: one proxy could not listen."""
    code = DRAW + "sys.stdout.flush(); sys.stdin.read()"
    runs = [
        subprocess.Popen([sys.executable, "-c", code], stdin=-1, stdout=-1, text=True)
        for _ in range(8)
    ]
    drawn = []
    for run in runs:
        drawn.extend(eval(run.stdout.readline()))
    for run in runs:
        run.communicate("", timeout=10)
    assert len(drawn) == len(set(drawn)) == 8 * 200


def test_a_run_can_draw_again_and_again():
    ports = free_ports(30)
    assert len(set(ports)) == 30
    assert set(free_ports(30)).isdisjoint(ports)
    assert len(set(free_ports(900))) == 900
