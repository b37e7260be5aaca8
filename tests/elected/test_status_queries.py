"""Connections for status queries to the instances of elected groups."""

import asyncio

from orchidwind.elected.network import status_queries
from orchidwind.elected.network.status_queries import StatusQueries


class Observed:
    def __init__(self):
        self.broken = False
        self.closed = False

    def close(self):
        self.closed = True


class Targets:
    def for_status(self, instance):
        return instance


def test_two_queries_at_once_keep_one_connection(monkeypatch):
    """Guards against a connection that is opened beside another one and never closed."""
    opened = []

    async def open_slowly(target):
        await asyncio.sleep(0)
        opened.append(Observed())
        return opened[-1]

    async def work():
        monkeypatch.setattr(status_queries.Observer, "open", open_slowly)
        queries = StatusQueries(Targets(), None, None)
        used = await asyncio.gather(queries._observer("a"), queries._observer("a"))
        assert used[0] is used[1]
        queries.close()
        assert [item.closed for item in opened] == [True, True]

    asyncio.run(work())
