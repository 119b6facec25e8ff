"""Messages of clients, servers and discovery in all forms of HTTP/1.1, and cut into pieces at any place."""

import json
import random
import socket
import threading
from collections import Counter
from contextlib import closing

import pytest
import structlog
import trio
import trio.testing
from client_sockets import client_listener, open_socket, read_to_any_end
from discovery_agents import accept, discovery_configuration, listeners
from fake_services import rpc
from message_forms import (
    ANSWER_FORMS,
    CLOSING_FORMS,
    chunked,
    final_answers,
    form,
    pieces,
    receive_answers,
    request_forms,
)

from oakfork.sockets import discovery as watches
from oakfork.sockets.exchange import Answer
from oakfork.sockets.messages import RpcReceived, ServersListed


def answer_to(number, body):
    """The final answer that the tests give to an RPC."""
    return 200, b"made for " + number.encode() + b" " + body


@pytest.mark.parametrize("cut", ["whole", "bytes", "drawn"])
@pytest.mark.parametrize("together", [True, False])
def test_requests_in_all_forms_and_pieces_are_answered_once_each(tmp_path, cut, together):
    """Guards against requests that are lost, doubled or mixed up at the borders of what a socket receives.

    Each piece is read before the next one comes. `together`: requests follow one another on one connection, in random
    order; otherwise each has its own.
    """

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:

                async def answer_all():
                    async for message in inbox:
                        if isinstance(message, RpcReceived):
                            exchange = message.exchange
                            exchanges.append(exchange)
                            exchange.answer(Answer(*answer_to(exchange.id.decode(), exchange.message.body)))

                nursery.start_soon(make_clients(nursery).run)
                nursery.start_soon(answer_all)
                if together:
                    batches = [[*chance.sample(kept, len(kept)), end] for end in last[:3]]
                else:
                    batches = [[row] for row in kept + last]
                for rows in batches:
                    exchanges.clear()
                    with closing(socket.create_connection(address, timeout=5)) as sock:
                        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                        for piece in pieces(b"".join(data for data, _ in rows), cut, chance):
                            sock.sendall(piece)
                            await trio.testing.wait_all_tasks_blocked()
                        received = await trio.to_thread.run_sync(receive_answers, sock, len(rows))
                        sock.shutdown(socket.SHUT_WR)
                        received += await trio.to_thread.run_sync(read_to_any_end, sock)
                    expected = [expected for _, expected in rows]
                    assert final_answers(received) == [answer_to(number, body) for _, _, number, body in expected]
                    assert [
                        (
                            exchange.message.head.method.decode(),
                            exchange.message.head.target.decode(),
                            exchange.id.decode(),
                            exchange.message.body,
                        )
                        for exchange in exchanges
                    ] == expected
                nursery.cancel_scope.cancel()

    chance = random.Random(7)
    exchanges = []
    kept, last = request_forms()
    trio.run(main, clock=trio.testing.MockClock())  # time stands still, so that no timeout fires


def test_body_that_waits_for_100_continue_is_asked_for_and_answered_once(tmp_path):
    """Guards against a client that waits for an interim answer that never comes, or takes it for the final one."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_clients(nursery).run)
                data, _ = form("7", "POST", "hand", ["Content-Length: 4", "Expect: 100-continue"], b"body")
                with closing(socket.create_connection(address, timeout=5)) as sock:
                    sock.sendall(data[:-4])
                    received = await trio.to_thread.run_sync(sock.recv, 4096)
                    assert received.startswith(b"HTTP/1.1 100 ") and received.endswith(b"\r\n\r\n")
                    sock.sendall(data[-4:])
                    message = await inbox.receive()
                    assert message.exchange.message.body == b"body"
                    message.exchange.answer(Answer(200, b"done"))
                    assert final_answers(await trio.to_thread.run_sync(sock.recv, 4096)) == [(200, b"done")]
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock())


def test_requests_in_all_forms_sent_at_once_reach_a_server_once_each_and_unchanged(start_gateway):
    """Guards against requests that the whole program loses, doubles, changes, or answers with another one's answer."""

    def act(handler, body):
        handler.reply(*answer_to(handler.headers["X-Txn"], body))

    kept, last = request_forms()
    with start_gateway(act, act) as gateway:
        for rows in ([*kept, last[0]], [last[1]], [last[2]], [last[3]]):
            sock = open_socket(gateway.address, b"".join(data for data, _ in rows))
            received = receive_answers(sock, len(rows))
            sock.shutdown(socket.SHUT_WR)
            received += read_to_any_end(sock)
            assert final_answers(received) == [answer_to(number, body) for _, (_, _, number, body) in rows]
        seen = [(method, path, fields["x-txn"], body) for method, path, fields, body in gateway.requests()]
        assert sorted(seen) == sorted(expected for _, expected in kept + last)


def write_bytewise(handler, data):
    """Sends bytes one at a time."""
    for at in range(len(data)):
        handler.wfile.write(data[at : at + 1])


@pytest.mark.parametrize("answer_form", ANSWER_FORMS)
def test_answers_of_servers_in_all_forms_and_pieces_are_passed_on_once(start_gateway, answer_form):
    """Guards against misreading an answer, also one which says that a request never ran, in a form of its own."""

    def act(handler, body):
        with lock:
            number = handler.headers["X-Txn"]
            runs[number] += 1
            turned_away = number in "03" and runs[number] == 1
        if turned_away:
            return write_bytewise(
                handler,
                b"HTTP/1.1 504 x\r\nX-TURNED-AWAY:  1 \r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunked(b"no room", [3, 4]),
            )
        write_bytewise(handler, ANSWER_FORMS[answer_form](b"made for " + number.encode() + b" " + body))
        handler.close_connection = answer_form in CLOSING_FORMS
        return None

    runs = Counter()
    lock = threading.Lock()
    with start_gateway(act, act, act, act) as gateway:
        for number in range(6):
            answer = rpc(gateway.address, "POST", lane="hand", body=b"x", X_Txn=str(number))
            assert answer[:2] == (200, b"made for %d x" % number)
    assert runs == {str(number): 2 if number in (0, 3) else 1 for number in range(6)}


def test_lists_in_all_forms_and_pieces_are_read_and_the_watch_goes_on():
    """Guards against a list that is lost, or a watch that ends, because of the form of an answer."""

    async def main():
        queue, inbox = trio.open_memory_channel(9)
        with listeners(1) as (listener,):
            listener.settimeout(5)
            async with trio.open_nursery() as nursery:
                client = watches.DiscoveryClient(
                    discovery_configuration(listener.getsockname()), queue, structlog.get_logger()
                )
                nursery.start_soon(client.run)
                sock = None
                cases = [(answer_form, indent) for answer_form in ANSWER_FORMS for indent in (None, 4)]
                for number, (answer_form, indent) in enumerate(cases):
                    if sock is None:
                        sock, request = await accept(listener)
                        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    else:
                        request = await trio.to_thread.run_sync(sock.recv, 9000)
                    assert b"from=%d&" % (number + 1) in request
                    row = {"id": "s-1", "addr": f"127.0.0.1:{number + 1}", "state": "up", "else": [None]}
                    document = {"more": 1, "servers": [row], "full": False, "version": number + 2}
                    body = json.dumps(document, indent=indent).replace("\n", "\r\n").encode()
                    data = ANSWER_FORMS[answer_form](body)
                    for at in range(len(data)):
                        sock.sendall(data[at : at + 1])
                        await trio.testing.wait_all_tasks_blocked()
                    if answer_form in CLOSING_FORMS:
                        sock.close()
                        sock = None
                    await trio.testing.wait_all_tasks_blocked(0.01)
                    assert inbox.receive_nowait() == ServersListed(False, False, [row])
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock())
