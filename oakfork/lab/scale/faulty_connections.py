"""TCP connections between processes of a play, carried by the play: shut as by a cut, ended in the middle of a frame,
or with the answers swallowed. Loopback only. Over trio.
"""

import trio

AT_ONCE = 65_536  # bytes


class Way:
    """To `target`, from `place`. What is under way while it is shut comes when it opens, as with TCP."""

    def __init__(self, target: tuple[str, int], listener: trio.SocketListener) -> None:
        self.target, self.listener = target, listener
        self.opened = trio.Event()
        self.opened.set()
        self.mute = False  # swallows what the target says
        self.tears = 0  # so many connections end in their next frame from the target
        self.torn = 0

    @classmethod
    async def to(cls, target: tuple[str, int]) -> "Way":
        return cls(target, (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0])

    @property
    def place(self) -> str:
        return "{}:{}".format(*self.listener.socket.getsockname()[:2])

    def shut(self) -> None:
        if self.opened.is_set():
            self.opened = trio.Event()

    def open(self) -> None:
        self.opened.set()

    async def run(self) -> None:
        await trio.serve_listeners(self._carry, [self.listener])

    async def _carry(self, stream: trio.SocketStream) -> None:
        async with stream:
            await self.opened.wait()
            try:
                behind = await trio.open_tcp_stream(*self.target)
            except OSError:
                return
            async with behind, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, stream, behind, False, nursery.cancel_scope)
                nursery.start_soon(self._pump, behind, stream, True, nursery.cancel_scope)

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, down: bool, scope: trio.CancelScope
    ) -> None:
        try:
            while data := await source.receive_some(AT_ONCE):
                await self.opened.wait()
                if down and self.mute:
                    continue
                if down and self.tears and len(data) > 1:
                    self.tears, self.torn = self.tears - 1, self.torn + 1
                    await sink.send_all(data[:-1])
                    break
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
