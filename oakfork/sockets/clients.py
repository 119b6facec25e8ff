"""The clients' side: takes connections in, reads RPCs, writes answers."""
import errno
import socket

import h11
import trio
from structlog.stdlib import BoundLogger

from oakfork.sockets.configuration import Surroundings
from oakfork.sockets.endings import Break, Ending
from oakfork.sockets.exchange import Answer, BadRequest, Exchange
from oakfork.sockets.heads import LARGEST_BODY, Link, Message
from oakfork.sockets.messages import Came, Left, Told

BACKLOG = 512
PATIENCE = 10.0     # seconds for a whole request once begun, and for a client to take its answer


class Clients:
    """The connections of clients; each is one task."""

    def __init__(self, here: Surroundings, most: int, queue: trio.MemorySendChannel[Told], log: BoundLogger) -> None:
        self.here, self.most, self.queue, self.log = here, most, queue, log
        self.leaving = False
        self.open = 0
        self.empty = trio.Event()       # set once it is leaving and all connections are closed
        self.idle: set[trio.CancelScope] = set()    # connections between two requests
        self.accepting = trio.CancelScope()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(here.listen)
        self.sock.listen(BACKLOG)

    async def run(self, nursery: trio.Nursery) -> None:
        with self.accepting:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                try:
                    sock, _ = self.sock.accept()
                except OSError as error:
                    if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                        self.log.warning("no descriptor left for a client")
                        await trio.sleep(0.05)      # until others have closed theirs
                    continue
                self.open += 1
                nursery.start_soon(self._serve, sock)
        self.sock.close()
        self._leave_idle()

    def leave(self) -> None:
        """From now on each answer is its connection's last, and idle connections close."""
        self.leaving = True
        self._leave_idle()

    def _leave_idle(self) -> None:
        for scope in self.idle:
            scope.cancel()
        if self.leaving and not self.open:
            self.empty.set()

    async def _serve(self, sock: socket.socket) -> None:
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Link(sock, h11.SERVER)
            while await self._begun(link):
                if not await self._one(link):
                    break
        except (Break, OSError):
            pass    # the client is gone, or can't be answered
        finally:
            sock.close()
            self.open -= 1
            if self.leaving and not self.open:
                self.empty.set()

    async def _begun(self, link: Link) -> bool:
        """Waits for the first bytes of a request."""
        if link.buffered:
            return True
        with trio.CancelScope() as scope:
            self.idle.add(scope)
            try:
                return await link.fill()
            finally:
                self.idle.discard(scope)
        return False

    async def _one(self, link: Link) -> bool:
        """One request and its answer; whether the connection goes on."""
        try:
            message = link.parse()
            if message is None:
                with trio.CancelScope(deadline=trio.current_time() + PATIENCE):
                    message = await link.read()
            if message is None:
                raise Break(Ending.SILENT)
        except Break as end:
            status = {Ending.MALFORMED: 400, Ending.OVERSIZED: 413, Ending.SILENT: 408}.get(end.ending)
            if status:
                await self._write(link, Answer(status), last=True)
            return False
        answer = self._plain(message)
        if answer is None:
            try:
                exchange = Exchange(message, self.here.names, self.here.birth.gateways)
            except BadRequest as error:
                answer = Answer(400, str(error).encode() + b"\n", b"text/plain")
            else:
                answer = await self._answer(link, exchange)
        if answer is None:
            return False
        return await self._write(link, answer, last=self.leaving or self.open > self.most)

    def _plain(self, message: Message) -> Answer | None:
        """Requests that are no RPCs."""
        path = message.head.target.partition(b"?")[0]
        if path == b"/-/ready" and message.head.method == b"GET":
            return Answer(503 if self.leaving else 200)
        return Answer(404) if path.startswith(b"/-/") else None

    async def _answer(self, link: Link, exchange: Exchange) -> Answer | None:
        """The keeper's answer; None if the client goes away before it."""
        await self.queue.send(Came(exchange))
        gone = False
        with exchange.answered:     # cancelled when the answer is there
            try:
                while not gone:
                    if link.buffered > LARGEST_BODY:    # a client that sends on without an answer waits
                        await trio.sleep_forever()
                    gone = not await link.fill()
            except Break:
                gone = True
        if gone:
            await self.queue.send(Left(exchange))
            return None
        return exchange.answer

    async def _write(self, link: Link, answer: Answer, last: bool) -> bool:
        headers = [(b"content-length", b"%d" % len(answer.body))]
        if answer.content_type:
            headers.append((b"content-type", answer.content_type))
        if answer.retry_after:
            headers.append((b"retry-after", b"%.3f" % answer.retry_after))
        if last:
            headers.append((b"connection", b"close"))
        if link.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        with trio.CancelScope(deadline=trio.current_time() + PATIENCE) as scope:
            await link.write(h11.Response(status_code=answer.status, headers=headers), answer.body)
        return not scope.cancelled_caught and not last and link.renew()
