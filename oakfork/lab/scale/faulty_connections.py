"""A TCP proxy on loopback that injects faults into the connections between the processes of a fleet.

It blocks connections as a network partition does, ends them in the middle of a frame, or drops the answers. Over trio.
"""

import trio

CHUNK_BYTES = 65_536  # read from a connection at once


class ConnectionProxy:
    """Forwards the connections that arrive at `address` to `target`.

    What is in flight while the proxy is blocked is delivered once it is unblocked, as TCP does after a partition.
    """

    def __init__(self, target: tuple[str, int], listener: trio.SocketListener) -> None:
        self.target = target
        self.listener = listener
        self.unblocked = trio.Event()
        self.unblocked.set()
        self.drops_answers = False  # whether data from the target is discarded
        self.pending_truncations = 0  # connections that are to end within their next frame from the target
        self.truncated = 0  # connections that were ended so

    @classmethod
    async def listen(cls, target: tuple[str, int]) -> "ConnectionProxy":
        """A proxy to `target` that listens at a free port of loopback."""
        return cls(target, (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0])

    @property
    def address(self) -> str:
        """The host and port at which the proxy listens."""
        return "{}:{}".format(*self.listener.socket.getsockname()[:2])

    def block(self) -> None:
        """Holds back all data, in both directions, and new connections."""
        if self.unblocked.is_set():
            self.unblocked = trio.Event()

    def unblock(self) -> None:
        """Delivers what was held back and forwards again."""
        self.unblocked.set()

    async def run(self) -> None:
        """Forwards connections until it is cancelled."""
        await trio.serve_listeners(self._forward, [self.listener])

    async def _forward(self, stream: trio.SocketStream) -> None:
        async with stream:
            await self.unblocked.wait()
            try:
                upstream = await trio.open_tcp_stream(*self.target)
            except OSError:
                return
            async with upstream, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, stream, upstream, False, nursery.cancel_scope)
                nursery.start_soon(self._copy, upstream, stream, True, nursery.cancel_scope)

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, from_target: bool, scope: trio.CancelScope
    ) -> None:
        """Copies one direction until either side ends, then cancels the other direction."""
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await self.unblocked.wait()
                if from_target and self.drops_answers:
                    continue
                if from_target and self.pending_truncations and len(data) > 1:
                    self.pending_truncations -= 1
                    self.truncated += 1
                    await sink.send_all(data[:-1])
                    break
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
