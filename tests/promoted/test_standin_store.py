"""A watch response of the stand-in store contains all changes up to the revision `at`.

Guards against a lost change: when a write came just as a watch timed out, the stand-in had already
found no events but answered with the revision after the write, where the next watch of the proxy
began. In the soak, a proxy that gets changes only from the store then held version 1 of the
configuration for 18 s and considered it current.
"""

import asyncio
import json

import pytest

from orchidwind.platform.http_call import HttpRequest, http_call
from orchidwind_bench.processes import free_ports
from orchidwind_standins.platform.object_store import StoreState, listen

HOST = "127.0.0.1"


class WriteAsTheWaitEnds(asyncio.Event):
    """A wait that times out, with a change written before the waiting call continues."""

    def __init__(self, state):
        super().__init__()
        self._state = state

    async def wait(self):
        self._state.put("config", "main", {"version": 2})
        raise TimeoutError


async def watched(port, revision):
    path = f"/orchidwind/objects/config?watch={revision}&wait_ms=50"
    answer = await http_call(HttpRequest((HOST, port), "GET", path), 2.0)
    return json.loads(answer.body)


@pytest.mark.parametrize("ending", ["write as the wait ends", "no write"])
def test_watch_revision_covers_only_reported_changes(ending):
    async def work():
        state = StoreState()
        state.put("config", "main", {"version": 1})
        port = free_ports(1)[0]
        server = listen(state, HOST, port)
        before = state.revision
        if ending == "write as the wait ends":
            state.changed = WriteAsTheWaitEnds(state)
        first = await watched(port, before)
        second = await watched(port, first["at"])
        server.stop()
        reported = [
            event["object"]["spec"] for answer in (first, second) for event in answer["events"]
        ]
        assert reported == ([] if ending == "no write" else [{"version": 2}])

    asyncio.run(work())
