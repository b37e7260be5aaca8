"""The home proxy's side of one link: handles the messages that another proxy sends.

Owns the channels and the answers of that proxy's callers, which end with the link.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream

from orchidwind.elected.core.statements import ChannelKey, Outcome
from orchidwind.elected.network import codec
from orchidwind.elected.network.frame_stream import FrameStream
from orchidwind.elected.network.home_service import HomeService
from orchidwind.elected.network.link_answer import LinkAnswerPort
from orchidwind.elected.network.link_messages import from_execute, to_answer


class LinkSession:
    """Serves one link at the home proxy.

    `on_hello` is called once the other proxy has sent its name.
    """

    def __init__(
        self,
        stream: IOStream,
        homes: HomeService,
        configuration: Callable[[], codec.ConfigurationReply | None],
        serial: int,
        on_hello: Callable[[LinkSession], None],
    ) -> None:
        self.peer = ""
        self._on_hello = on_hello
        self._stream = stream
        self._homes = homes
        self._configuration = configuration
        self._origin = f"link-{serial}"
        self._channels: set[int] = set()
        self._ports: dict[int, LinkAnswerPort] = {}
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Handle messages until the link closes.

        Raises StreamClosedError when it closes, DecodeError or ValueError for a malformed message.
        """
        frames = FrameStream(self._stream)
        hello = await frames.next()
        if not isinstance(hello, codec.Hello):
            raise codec.DecodeError("a link begins with Hello")
        self.peer = hello.node
        self._origin = f"{hello.node}/{self._origin}"
        self._on_hello(self)
        while True:
            self._handle(await frames.next())

    @property
    def channels(self) -> int:
        """The number of open channels."""
        return len(self._channels)

    def close(self) -> None:
        """Close the link."""
        self._stream.close()

    def end(self) -> None:
        """Release the answers and channels of the other proxy's callers; the link has closed."""
        for port in self._ports.values():
            port.release()
        for channel in self._channels:
            self._homes.close_channel(ChannelKey(self._origin, channel))

    def _handle(self, message: codec.LinkMessage) -> None:
        if isinstance(message, codec.Execute):
            self._execute(message)
        elif isinstance(message, codec.Credit):
            port = self._ports.get(message.number)
            if port is not None:
                port.credit(message.count)
        elif isinstance(message, codec.Cancel):
            self._homes.cancel(ChannelKey(self._origin, message.channel))
        elif isinstance(message, codec.CloseChannel):
            self._channels.discard(message.channel)
            self._homes.close_channel(ChannelKey(self._origin, message.channel))
        elif isinstance(message, codec.LinkProbe):
            self._stream.write(codec.encode_frame(codec.LinkAlive()))
        elif isinstance(message, codec.LeaseAsk):
            self._lend(message)
        elif isinstance(message, codec.ConfigurationRequest):
            reply = self._configuration()
            if reply is not None and reply.version > message.version:
                self._stream.write(codec.encode_frame(reply))

    def _lend(self, message: codec.LeaseAsk) -> None:
        answer = self._homes.lend(message.database, self.peer, message.wanted)
        if answer is not None:
            reply = codec.LeaseReply(message.database, answer.slots, answer.number, answer.duration)
            self._stream.write(codec.encode_frame(reply))

    def _execute(self, message: codec.Execute) -> None:
        self._channels.add(message.channel)
        port = LinkAnswerPort(self._stream, message.number)
        self._ports[message.number] = port
        number = next(self._homes.numbers)
        request = from_execute(message, self._origin, number, self._loop.time())

        def finished(outcome: Outcome) -> None:
            self._ports.pop(message.number, None)
            port.finish(to_answer(outcome, message.number))

        self._homes.submit(request, port, finished)
