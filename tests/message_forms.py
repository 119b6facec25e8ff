"""HTTP messages in all forms that the protocol allows, as requests, answers and pieces of their bytes."""

import re

from fake_services import CUSTOMER

from oakfork.sockets.http_connection import LARGEST_BODY


def form(number, method="GET", lane="read", lines=(), body=b"", version="1.1", target=f"/api?client={CUSTOMER}"):
    """A request in one form, and what a server must receive: method, target, id and body."""
    fields = ["Host: app.svc", f"X-Txn: {number}", f"X-Lane: {lane}", "X-Tier: free", "X-Remaining-Ms: 2000", *lines]
    if method == "POST":
        fields.append("Idempotency-Key: k")
    head = "\r\n".join([f"{method} {target} HTTP/{version}", *fields, "", ""]).encode()
    return head + body, (method, target, number, body)


def with_header_names(data, change):
    """A request with the names of its headers changed by a function."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    lines = [change(name) + b":" + value for name, _, value in (line.partition(b":") for line in lines)]
    return b"\r\n".join([first, *lines]) + b"\r\n\r\n" + body


def chunked(body, sizes, extension=b"", trailer=b""):
    """A body in chunks of these sizes, each with a chunk extension, and with a trailer."""
    encoded = b""
    at = 0
    for size in sizes:
        chunk = body[at : at + size]
        at += size
        if chunk:
            encoded += b"%X%b\r\n%b\r\n" % (len(chunk), extension, chunk)
    return encoded + b"0%b\r\n%b\r\n" % (extension, trailer)


def request_forms():
    """All forms of requests after which a connection stays open, and those that end it."""
    body = bytes(range(256))
    large = bytes(range(256)) * 256
    length = [f"Content-Length: {len(body)}"]
    chunks = ["Transfer-Encoding: chunked"]
    arguments = (
        ("GET",),
        ("GET", "read", ["Content-Length: 0"]),
        ("GET", "read", ["X-Call-Terms: first=0, spread=1, units=1"]),
        ("GET", "read", [f"X-Other-{number}: {number}" for number in range(150)]),
        ("POST", "seal", length, body),
        ("POST", "hand", length, body),
        ("POST", "hand", ["Content-Length: 0"]),
        ("POST", "hand", [*length, "Expect: 100-continue"], body),
        ("GET", "read", ["X-Resent: 1"]),
        ("GET", "read", (), b"", "1.1", f"/api?a=%20&client={CUSTOMER.upper()}&b=c"),
        ("GET", "read", (), b"", "1.1", f"http://app.svc/api?client={CUSTOMER}"),
    )
    kept = [form(f"{number:x}", *rest) for number, rest in enumerate(arguments)]
    plain, expected = form("20")
    kept.append((with_header_names(plain, bytes.upper), expected))
    plain, expected = form("21", "POST", "hand", length, body)
    kept.append((with_header_names(plain, bytes.lower), expected))
    plain, expected = form("22")
    kept.append((plain.replace(b": read", b":\t  read \t"), expected))
    for number, (sizes, options) in enumerate(
        (((256,), {}), ([1] * 256, {}), ((200, 56), {"extension": b";a=b", "trailer": b"X-Sum: 1\r\n"}))
    ):
        head, expected = form(f"3{number}", "POST", "seal", chunks)
        kept.append((head + chunked(body, sizes, **options), (*expected[:3], body)))
    last = [
        form("40", version="1.0"),
        form("41", lines=["Connection: close"]),
        form("42", "POST", "hand", [*length, "connection: CLOSE"], body),
        form("43", "POST", "hand", [f"Content-Length: {LARGEST_BODY}"], large),
    ]
    return kept, last


ANSWER_FORMS = {
    "cased": lambda body: b"HTTP/1.1 200 OK\r\nCONTENT-LENGTH:%d\r\n\r\n%b" % (len(body), body),
    "bare": lambda body: b"HTTP/1.1 200 \r\ncontent-length: \t%d \r\n\r\n%b" % (len(body), body),
    "early": lambda body: b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    + (ANSWER_FORMS["cased"](body)),
    "chunked": lambda body: b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
    + chunked(body, [1, 2, 300], b";x=y", b"X-Sum: 1\r\n"),
    "closed": lambda body: b"HTTP/1.1 200 OK\r\nconnection: Close\r\n\r\n" + body,
    "old": lambda body: b"HTTP/1.0 200 OK\r\n\r\n" + body,
}
CLOSING_FORMS = ("closed", "old")  # answers whose end is the end of their connection


def pieces(data, cut, chance):
    """The bytes of a message in pieces: whole, single bytes (900 each if it is long), or drawn by `chance`."""
    if cut == "whole":
        return [data]
    if cut == "bytes":
        size = 1 if len(data) < 3000 else 900
        return [data[at : at + size] for at in range(0, len(data), size)]
    marks = sorted(chance.randrange(len(data) + 1) for _ in range(6))
    return [data[one:two] for one, two in zip([0, *marks], [*marks, len(data)], strict=True) if one < two]


def final_answers(received):
    """Status and body of each complete final answer in these bytes; interim answers are left out."""
    found = []
    while received:
        head, _, received = received.partition(b"\r\n\r\n")
        if head[9:10] != b"1":
            length = int(re.search(rb"(?i)content-length: (\d+)|$", head)[1] or 1 << 30)
            if len(received) < length:
                break
            found.append((int(head[9:12]), received[:length]))
            received = received[length:]
    return found


def receive_answers(sock, count):
    """What comes until so many final answers are complete."""
    received = b""
    while len(final_answers(received)) < count:
        more = sock.recv(1 << 20)
        assert more, f"ended behind {received[-200:]!r}"
        received += more
    return received
