"""A TCP relay on loopback whose connections can be silenced: they accept bytes and deliver none."""

import asyncio

HOST = "127.0.0.1"


class Relay:
    """Forwards bytes both ways; `silence` makes open connections accept bytes and deliver none."""

    def __init__(self, port):
        self._port = port
        self._delivering = set()
        self._tasks = set()
        self.opened = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def silence(self):
        self._delivering.clear()

    async def _serve(self, reader, writer):
        self.opened += 1
        far_reader, far_writer = await asyncio.open_connection(HOST, self._port)
        number = self.opened
        self._delivering.add(number)
        await asyncio.gather(
            self._pass(number, reader, far_writer), self._pass(number, far_reader, writer)
        )

    async def _pass(self, number, reader, writer):
        try:
            while data := await reader.read(65536):
                if number in self._delivering:
                    writer.write(data)
        except (ConnectionError, asyncio.CancelledError):
            pass  # the test has ended
        if number in self._delivering:
            writer.close()

    def stop(self):
        self._server.close()
