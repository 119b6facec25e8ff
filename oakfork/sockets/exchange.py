"""A client's RPC at the door: read from its head, answered once."""
import re
from typing import Callable, Mapping, NamedTuple

import h11
import trio

from oakfork.birth import tenths
from oakfork.sockets.configuration import Names
from oakfork.sockets.heads import Header, Message, pairs

# These speak of one connection (RFC 9110, 7.6.1), are written anew for the next, or are for the gateway alone.
NOT_PASSED_ON = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
                           b"upgrade", b"expect", b"content-length", b"x-remaining-ms",
                           b"x-lane", b"x-tier", b"x-call-terms", b"x-resent"))

CLIENT = re.compile(rb"[?&]client=([0-9a-fA-F]{16})(?:&|$)")
LARGEST_CUSTOMER = 1 << 33      # PROTOCOL


class BadRequest(Exception):
    """The request is not one of the protocol; the text tells why."""


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after: float = 0.0    # seconds; 0: no advice


class CallOut:
    """One call-out of an RPC while it is out."""
    __slots__ = ("number", "server", "scope", "withdrawn", "started")

    def __init__(self, number: int, server: int, until: float) -> None:
        self.number, self.server = number, server
        self.scope = trio.CancelScope(deadline=until)
        self.withdrawn = False
        self.started = trio.current_time()

    def withdraw(self) -> None:
        self.withdrawn = True
        self.scope.cancel()


class Exchange:
    """An RPC from its head to its answer, with its call-outs."""

    def __init__(self, message: Message, names: Names, gateways: int, answer: Callable[[Answer], None]) -> None:
        self.received = trio.current_time()
        self.message = message
        self.answer = answer            # called once
        self.call_outs: dict[int, CallOut] = {}     # emptied as they end
        self.sent = 0
        rows = list(message.head.headers)   # h11 builds each row anew
        headers = dict(rows)
        self.customer = _customer(message.head.target)
        self.method = _named(names.methods, headers, b"x-lane")
        self.plan = _named(names.plans, headers, b"x-tier")
        if not headers.get(b"x-txn"):
            raise BadRequest("no X-Txn")
        self.time_left = tenths(_number(headers.get(b"x-remaining-ms"), "X-Remaining-Ms"))
        self.until = self.received + self.time_left / 10_000
        terms = _terms(headers.get(b"x-call-terms", b""))
        self.units = terms.get(b"units", 1.0)
        self.first_gateway = int(terms.get(b"first", 0))
        self.spread = int(terms.get(b"spread", gateways))
        self.repeated = headers.get(b"x-resent") == b"1"
        self.headers: list[Header] = [row for row in rows if row[0] not in NOT_PASSED_ON]
        if b"host" not in headers:      # HTTP/1.0 may leave it out
            self.headers.append((b"host", b"unknown"))
        if message.body or message.head.method != b"GET":
            self.headers.append((b"content-length", b"%d" % len(message.body)))

    def passed_on(self, left: float) -> h11.Request:
        """The head for a server that is waited for so many seconds."""
        head = self.message.head
        return h11.Request(method=head.method, target=head.target,
                           headers=[*self.headers, (b"x-remaining-ms", b"%d" % max(0, left * 1000))])


def _customer(target: bytes) -> int:
    found = CLIENT.search(target)
    if found is None:
        raise BadRequest("the query names no client in 16 hex digits")
    customer = int(found[1], 16)
    if customer >= LARGEST_CUSTOMER:
        raise BadRequest("the client's number is out of range")
    return customer


def _named(numbers: Mapping[bytes, int], headers: Mapping[bytes, bytes], name: bytes) -> int:
    number = numbers.get(headers.get(name, b""))
    if number is None:
        raise BadRequest(f"{name.decode()} names nothing that the settings know")
    return number


def _number(text: bytes | None, what: str) -> float:
    try:
        number = float(text or b"")
    except ValueError:
        number = -1.0
    if not 0 <= number < 1e9:
        raise BadRequest(f"{what} is not a number in range")
    return number


def _terms(text: bytes) -> dict[bytes, float]:
    terms = {}
    for name, value in pairs(text):
        if name:
            terms[name] = _number(value, "X-Call-Terms")
    return terms
