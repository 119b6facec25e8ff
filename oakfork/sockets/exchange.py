"""A client's RPC at the door: read from its head, answered once."""

import re
from typing import Callable, Mapping, NamedTuple

import h11
import trio

from oakfork.errors import BadRequestError
from oakfork.interface import GatewaySettings, RepeatSafety
from oakfork.settings import tenths
from oakfork.sockets.configuration import NameIndices
from oakfork.sockets.http_connection import Header, HttpMessage, pairs

# These speak of one connection (RFC 9110, 7.6.1), are written anew for the next, or are for the gateway alone.
NOT_PASSED_ON = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"x-remaining-ms",
        b"x-lane",
        b"x-tier",
        b"x-call-terms",
        b"x-resent",
    )
)

CLIENT = re.compile(rb"[?&]client=([^&]*)")
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")  # float() would take 'nan', '1_0' and '1e3' as well
LARGEST_CUSTOMER = 1 << 33  # PROTOCOL
OURS = frozenset((b"x-txn", b"x-lane", b"x-tier", b"x-remaining-ms", b"x-call-terms", b"idempotency-key"))


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after: float = 0.0  # seconds; 0: no advice
    last: bool = False  # nothing more is taken from that connection


class CallOut:
    """One call-out of an RPC while it is out."""

    __slots__ = ("number", "server", "scope", "withdrawn", "begun", "write_deadline", "started")

    def __init__(self, number: int, server: int, until: float, write_deadline: float) -> None:
        self.number, self.server = number, server
        self.scope = trio.CancelScope(deadline=until)
        self.write_deadline = write_deadline
        self.withdrawn = False
        self.begun = False  # its first byte may have been written
        self.started = trio.current_time()

    def withdraw(self) -> None:
        self.withdrawn = True
        self.scope.cancel()

    def recall(self) -> None:
        if not self.begun:
            self.withdraw()

    def begin(self) -> bool:
        """Whether it may begin, now that there is a connection. From here on it may have run."""
        self.begun = not self.withdrawn and trio.current_time() <= min(self.write_deadline, self.scope.deadline)
        return self.begun


class Exchange:
    """An RPC from its head to its answer, with its call-outs."""

    def __init__(
        self, message: HttpMessage, names: NameIndices, settings: GatewaySettings, answer: Callable[[Answer], None]
    ) -> None:
        self.received = trio.current_time()
        self.message = message
        self.waiting = [answer]  # who is answered: the client's connection, and others it came again on
        self.call_outs: dict[int, CallOut] = {}  # emptied as they end
        self.sent = 0
        self.taken = False  # its leg was taken from what contracts or the sites allow, and not given back
        self.contract: int | None = None  # whose reserved capacity it is inside
        rows = list(message.head.headers)  # h11 builds each row anew
        headers = dict(rows)
        if len(headers) < len(rows) and sum(row[0] in OURS for row in rows) > len(OURS & headers.keys()):
            raise BadRequestError("a header of the protocol stands there twice")
        self.customer = _customer(message.head.target)
        self.method = _named(names.methods, headers, b"x-lane")
        self.plan = _named(names.plans, headers, b"x-tier")
        self.id = headers.get(b"x-txn", b"")
        if not self.id:
            raise BadRequestError("no X-Txn")
        row = settings.methods[self.method]
        if row.repeat == RepeatSafety.DEDUPLICATED and not headers.get(b"idempotency-key"):
            raise BadRequestError("no Idempotency-Key")  # sent again, it would run twice
        # Guards against call-outs that stay for as long as a client says: nobody waits longer than the deadline.
        self.time_left = min(tenths(_number(headers.get(b"x-remaining-ms", b""), "X-Remaining-Ms")), row.deadline)
        self.until = self.received + self.time_left / 10_000
        self.units, self.first_gateway, self.spread = _terms(headers.get(b"x-call-terms", b""), settings)
        self.repeated = headers.get(b"x-resent") == b"1"
        self.headers: list[Header] = [row for row in rows if row[0] not in NOT_PASSED_ON]
        if b"host" not in headers:  # HTTP/1.0 may leave it out
            self.headers.append((b"host", b"unknown"))
        if message.body or message.head.method != b"GET":
            self.headers.append((b"content-length", b"%d" % len(message.body)))

    def answer(self, answer: Answer) -> None:
        """Goes to each connection that waits for it, once."""
        waiting, self.waiting = self.waiting, []
        for tell in waiting:
            tell(answer)

    def same(self, other: "Exchange") -> bool:
        """Whether the other is this request sent anew, and no other one under the same id."""

        def told(exchange: Exchange) -> tuple:
            head = exchange.message.head
            return head.method, head.target, exchange.headers, exchange.message.body, exchange.method, exchange.plan

        return told(self) == told(other)

    def passed_on(self, left: float) -> h11.Request:
        """The head for a server that is waited for so many seconds."""
        head = self.message.head
        return h11.Request(
            method=head.method,
            target=head.target,
            headers=[*self.headers, (b"x-remaining-ms", b"%d" % max(0, left * 1000))],
        )


def _customer(target: bytes) -> int:
    found = CLIENT.findall(target)
    if len(found) != 1 or not CUSTOMER.fullmatch(found[0]):
        raise BadRequestError("the query names no client in 16 hex digits")
    customer = int(found[0], 16)
    if customer >= LARGEST_CUSTOMER:
        raise BadRequestError("the client's number is out of range")
    return customer


def _named(numbers: Mapping[bytes, int], headers: Mapping[bytes, bytes], name: bytes) -> int:
    number = numbers.get(headers.get(name, b""))
    if number is None:
        raise BadRequestError(f"{name.decode()} names nothing that the settings know")
    return number


def _number(text: bytes, what: str) -> float:
    if not NUMBER.fullmatch(text):
        raise BadRequestError(f"{what} is not a number in range")
    return float(text)


def _terms(text: bytes, settings: GatewaySettings) -> tuple[float, int, int]:
    """Units, first gateway and spread, each in the range of the settings."""
    rows = list(pairs(text)) if text else []
    terms = dict(rows)
    units = _number(terms.get(b"units", b"1"), "units")
    first = _number(terms.get(b"first", b"0"), "first")
    spread = _number(terms.get(b"spread", b"%d" % settings.gateways), "spread")
    whole = first == int(first) and spread == int(spread)
    whole = whole and len(terms) == len(rows)  # nor told twice
    if not (
        0 < units <= settings.max_units and whole and first < settings.gateways and 1 <= spread <= settings.gateways
    ):
        raise BadRequestError("X-Call-Terms are out of range")
    return units, int(first), int(spread)
