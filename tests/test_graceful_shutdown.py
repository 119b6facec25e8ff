"""SIGTERM under load."""

import http.client
import random
import signal
import threading
import time

import pytest
from fake_services import CUSTOMER, connection, echo, headers, rpc


def test_sigterm_answers_what_came_and_ends(world):
    def slow(handler, body):
        time.sleep(1.0)
        echo(handler, body)

    with world(slow) as w:
        link, idle = connection(w.at), connection(w.at)
        assert rpc(w.at, path="/-/ready", link=idle)[0] == 200
        link.request("GET", f"/api?client={CUSTOMER}", None, headers())
        time.sleep(0.1)
        w.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        assert idle.sock.recv(1) == b""  # idle ones close, new ones are still taken
        late = connection(w.at)
        assert rpc(w.at, path="/-/ready", link=late)[0] == 503
        assert rpc(w.at)[0] == 200
        answer = link.getresponse()
        assert answer.status == 200 and answer.headers["Connection"] == "close"
        assert w.process.wait(3) == 0
        with pytest.raises(OSError):
            rpc(w.at)


def test_what_comes_after_sigterm_on_an_empty_gateway_is_answered(world):
    """No connection was open for a moment; a new one brings an RPC that takes longer than new ones are taken."""

    def slow(handler, body):
        time.sleep(1.0)
        echo(handler, body)

    with world(slow) as w:
        w.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        assert rpc(w.at)[0] == 200
        assert w.process.wait(3) == 0


def test_clients_lose_nothing_when_the_gateway_leaves(world):
    """Clients keep their connections, send once more on a new one where closing crossed a request, and are sent
    elsewhere 0.4 s after SIGTERM, as the protocol has it."""

    def quick(handler, body):
        time.sleep(0.01)
        echo(handler, body)

    def ask(link, first):
        try:
            answers.append(rpc(w.at, link=link)[0])
            return link
        except (http.client.RemoteDisconnected, ConnectionError):
            if not first:
                lost.append(time.monotonic() - ended[0])
                return None
            return ask(connection(w.at), False)

    def client(number):
        link, chance = connection(w.at), random.Random(number)
        while link and (not ended or time.monotonic() < ended[0] + 0.4):
            link = ask(link, True)
            if link and link.sock is None:  # the answer was the connection's last
                link = connection(w.at)
            time.sleep(chance.random() * 0.02)

    answers, lost, ended = [], [], []
    with world(quick) as w:
        threads = [threading.Thread(target=client, args=(number,)) for number in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(0.4)
        ended.append(time.monotonic())
        w.process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        assert w.process.wait(3) == 0
    assert not lost and set(answers) <= {200, 503} and answers.count(200) > 100


def test_clients_send_on_up_to_sigkill_and_lose_nothing(world):
    """Clients send on each connection for as long as it stays open, up to SIGKILL: the longest deadline and 0.7 s after
    SIGTERM. Nothing taken is left without its answer, and hardly a request meets a close with none."""

    def uneven(handler, body):
        time.sleep(0.6 if random.random() < 0.04 else 0.01)
        echo(handler, body)

    def client():
        link = connection(w.at)
        while not killed.is_set():
            sent[0] += 1
            try:
                link.request("GET", f"/api?client={CUSTOMER}", None, headers())
                answer = link.getresponse()
                answer.read()
                answers.append(answer.status)
            except (http.client.RemoteDisconnected, ConnectionError):
                closed.append(time.monotonic() - ended[0] if ended else -1.0)
                link = connection(w.at)
            if link.sock is None and ended and time.monotonic() > ended[0] + 0.4:
                return  # the answer was the connection's last, and its front sends no new ones any more
            time.sleep(0.002)

    answers, closed, ended, sent, killed = [], [], [], [0], threading.Event()
    with world(uneven, uneven, uneven) as w:
        threads = [threading.Thread(target=client) for _ in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(1.5)
        ended.append(time.monotonic())
        w.process.send_signal(signal.SIGTERM)
        assert w.process.wait(2.7) == 0  # before SIGKILL would come
        killed.set()
        for thread in threads:
            thread.join()
    assert len(answers) > 400 and set(answers) <= {200, 503}
    assert len(closed) <= sent[0] / 200 and sent[0] == len(answers) + len(closed)
