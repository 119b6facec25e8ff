"""An RPC of a client: it is read and checked from its head, sent on by call-outs, and answered once.

Also the ids of RPCs that are over and may have run, so that one which comes again is not taken for a new one.
"""

import hashlib
import re
from typing import Callable, Mapping, NamedTuple

import h11
import trio

from oakfork.errors import BadRequestError
from oakfork.interface import GatewaySettings, RepeatSafety
from oakfork.settings import tenths
from oakfork.sockets.configuration import NameIndices
from oakfork.sockets.http_connection import Header, HttpMessage, parse_pairs

# These headers concern one connection (RFC 9110, 7.6.1), are written again for the next one, or are meant for the
# gateway alone.
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

ID_LIFETIME = 60.0  # seconds; a client that sends a request again does so within its deadline
DIGEST_SIZE = 16  # bytes; ids may be as long as a head
CLIENT_PARAMETER = re.compile(rb"[?&]client=([^&]*)")
CUSTOMER_DIGITS = re.compile(rb"[0-9a-fA-F]{16}")
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")  # float() would take 'nan', '1_0' and '1e3' as well
MAX_CUSTOMERS = 1 << 33  # the protocol's bound: numbers of customers are smaller
# Headers of the protocol, each of which may be there once only.
PROTOCOL_HEADERS = frozenset((b"x-txn", b"x-lane", b"x-tier", b"x-remaining-ms", b"x-call-terms", b"idempotency-key"))


class Answer(NamedTuple):
    """An answer to a client."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after: float = 0.0  # seconds; 0: no advice
    last: bool = False  # the connection is closed after it

    def headers(self, closes: bool) -> list[Header]:
        """The headers of this answer; `closes`: the connection is closed after it, for whatever reason."""
        headers = [(b"content-length", b"%d" % len(self.body))]
        if self.content_type:
            headers.append((b"content-type", self.content_type))
        if self.retry_after:
            is_integer = self.retry_after == int(self.retry_after)  # RFC 9110 has integers; decimals only where needed
            headers.append((b"retry-after", (b"%d" if is_integer else b"%.3f") % self.retry_after))
        if closes:
            headers.append((b"connection", b"close"))
        return headers


class Waiter(NamedTuple):
    """A connection that waits for the answer of an RPC."""

    answer: Callable[[Answer], None]  # writes the answer to the client
    has_left: Callable[[], bool]  # whether the client has gone, as far as its socket shows now


class CallOut:
    """One call-out of an RPC, from the decision to send it until it has ended.

    `until` and `write_deadline` are on trio's clock: when its answer must be there, and when it must be written.
    `is_awaited` tells whether anybody still waits for the answer of its RPC.
    """

    __slots__ = ("number", "server", "scope", "withdrawn", "begun", "write_deadline", "started", "is_awaited")

    def __init__(
        self, number: int, server: int, until: float, write_deadline: float, is_awaited: Callable[[], bool]
    ) -> None:
        self.number = number
        self.is_awaited = is_awaited
        self.server = server
        self.scope = trio.CancelScope(deadline=until)
        self.write_deadline = write_deadline
        self.withdrawn = False
        self.begun = False  # its first byte may have been written
        self.started = trio.current_time()

    def withdraw(self) -> None:
        """Cancels the call-out."""
        self.withdrawn = True
        self.scope.cancel()

    def withdraw_if_unsent(self) -> None:
        """Cancels the call-out unless its first byte may have been written."""
        if not self.begun:
            self.withdraw()

    def begin(self) -> bool:
        """Whether it may be written, now that there is a connection. From here on it may have run.

        Guards against call-outs that begin when the gateway was held up and has not yet been told of a client's end.
        """
        in_time = trio.current_time() <= min(self.write_deadline, self.scope.deadline)
        self.begun = not self.withdrawn and in_time and self.is_awaited()
        return self.begun


class Exchange:
    """An RPC from its head to its answer, with its call-outs.

    `waiter` is the connection that it came on, and `received` is when its last byte came, on trio's clock: its time
    counts from there. Raises BadRequestError if the head breaks the protocol.
    """

    def __init__(
        self, message: HttpMessage, names: NameIndices, settings: GatewaySettings, waiter: Waiter, received: float
    ) -> None:
        self.received = received
        self.message = message
        self.waiting = [waiter]  # all connections that wait: the client may have sent the request again
        self.call_outs: dict[int, CallOut] = {}  # by number; those that have not ended
        self.sent = 0  # call-outs so far
        self.may_have_run = False  # a call-out has ended that may have run
        self.repeats_run = False  # an earlier RPC with its id is over and may have run
        self.admitted = False  # it holds a leg of what contracts or sites allow
        self.contract: int | None = None  # the contract whose reserved capacity it uses
        rows = list(message.head.headers)  # h11 builds each row anew
        headers = dict(rows)
        if len(headers) < len(rows) and _has_duplicates(rows, headers):
            raise BadRequestError("a header of the protocol stands there twice")
        self.customer = _customer(message.head.target)
        self.method = _index_of(names.methods, headers, b"x-lane")
        self.plan = _index_of(names.plans, headers, b"x-tier")
        self.id = headers.get(b"x-txn", b"")
        if not self.id:
            raise BadRequestError("no X-Txn")
        method = settings.methods[self.method]
        if method.repeat == RepeatSafety.DEDUPLICATED and not headers.get(b"idempotency-key"):
            raise BadRequestError("no Idempotency-Key")  # sent again, it would run twice
        # Guards against call-outs that last for as long as a client says: the deadline of the method is the limit.
        remaining = _number(headers.get(b"x-remaining-ms", b""), "X-Remaining-Ms")
        self.time_left = min(tenths(remaining), method.deadline)
        self.until = self.received + self.time_left / 10_000
        self.units, self.first_gateway, self.spread = _call_terms(headers.get(b"x-call-terms", b""), settings)
        self.repeated = headers.get(b"x-resent") == b"1"
        self.headers: list[Header] = [row for row in rows if row[0] not in NOT_PASSED_ON]
        if b"host" not in headers:  # HTTP/1.0 may leave it out
            self.headers.append((b"host", b"unknown"))
        if message.body or message.head.method != b"GET":
            self.headers.append((b"content-length", b"%d" % len(message.body)))

    def limit(self, end: float) -> None:
        """Shortens the time of the RPC so that it ends by `end`, on trio's clock."""
        if end < self.until:
            self.until = end
            self.time_left = max(0, int((end - self.received) * 10_000))

    def answer(self, answer: Answer) -> None:
        """Sends the answer to each connection that waits for it, once."""
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            waiter.answer(answer)

    def has_run(self) -> bool:
        """Whether it may have run by now, or may run yet."""
        return self.may_have_run or any(call_out.begun for call_out in self.call_outs.values())

    def is_awaited(self) -> bool:
        """Whether a client still waits for the answer."""
        return not all(waiter.has_left() for waiter in self.waiting)

    def same(self, other: "Exchange") -> bool:
        """Whether the other is this request sent again, and not a different one with the same id."""
        return self._identity() == other._identity()

    def _identity(self) -> tuple:
        head = self.message.head
        return head.method, head.target, self.headers, self.message.body, self.method, self.plan

    def server_head(self, seconds_left: float) -> h11.Request:
        """The head of a call-out whose answer is waited for `seconds_left` seconds."""
        head = self.message.head
        return h11.Request(
            method=head.method,
            target=head.target,
            headers=[*self.headers, (b"x-remaining-ms", b"%d" % max(0, seconds_left * 1000))],
        )


class RecentIds:
    """At most `max_ids` ids, each for `lifetime` seconds; the oldest ones make room for new ones."""

    def __init__(self, max_ids: int, lifetime: float = ID_LIFETIME) -> None:
        self.max_ids = max_ids
        self.lifetime = lifetime
        self.ends: dict[bytes, float] = {}  # by the digest of the id: until when it is remembered; the oldest one first

    def __len__(self) -> int:
        return len(self.ends)

    def add(self, rpc_id: bytes, now: float) -> None:
        """Remembers an id from now on; `now` is on a clock that runs evenly."""
        digest = _digest(rpc_id)
        self.ends.pop(digest, None)
        if len(self.ends) >= self.max_ids:
            del self.ends[next(iter(self.ends))]
        self.ends[digest] = now + self.lifetime

    def contains(self, rpc_id: bytes, now: float) -> bool:
        """Whether an id is remembered; those that have lapsed are dropped."""
        while self.ends and next(iter(self.ends.values())) <= now:
            del self.ends[next(iter(self.ends))]
        return bool(self.ends) and _digest(rpc_id) in self.ends


def _digest(rpc_id: bytes) -> bytes:
    return hashlib.blake2b(rpc_id, digest_size=DIGEST_SIZE).digest()


def _has_duplicates(rows: list[Header], headers: Mapping[bytes, bytes]) -> bool:
    """Whether a header of the protocol is there more than once."""
    return sum(row[0] in PROTOCOL_HEADERS for row in rows) > len(PROTOCOL_HEADERS & headers.keys())


def _customer(target: bytes) -> int:
    found = CLIENT_PARAMETER.findall(target)
    if len(found) != 1 or not CUSTOMER_DIGITS.fullmatch(found[0]):
        raise BadRequestError("the query names no client in 16 hex digits")
    customer = int(found[0], 16)
    if customer >= MAX_CUSTOMERS:
        raise BadRequestError("the client's number is out of range")
    return customer


def _index_of(indices: Mapping[bytes, int], headers: Mapping[bytes, bytes], name: bytes) -> int:
    index = indices.get(headers.get(name, b""))
    if index is None:
        raise BadRequestError(f"{name.decode()} names nothing that the settings know")
    return index


def _number(text: bytes, name: str) -> float:
    if not NUMBER.fullmatch(text):
        raise BadRequestError(f"{name} is not a number in range")
    return float(text)


def _call_terms(text: bytes, settings: GatewaySettings) -> tuple[float, int, int]:
    """Units, first gateway and spread of X-Call-Terms, each in the range of the settings."""
    rows = list(parse_pairs(text)) if text else []
    terms = dict(rows)
    units = _number(terms.get(b"units", b"1"), "units")
    first = _number(terms.get(b"first", b"0"), "first")
    spread = _number(terms.get(b"spread", b"%d" % settings.gateways), "spread")
    are_integers = first == int(first) and spread == int(spread)
    are_unique = len(terms) == len(rows)
    units_in_range = 0 < units <= settings.max_units
    gateways_in_range = first < settings.gateways and 1 <= spread <= settings.gateways
    if not (units_in_range and are_integers and are_unique and gateways_in_range):
        raise BadRequestError("X-Call-Terms are out of range")
    return units, int(first), int(spread)
