"""Any bytes at any moment at each port of publisher and relays, and from a false relay: counted, never believed."""

import json
import random

import pytest
import trio
from control_tier import HERE, LOG, WAIT, play, servers, until
from test_any_bytes import spoilt

from oakfork.control import agent as agents, client, connections, status_text, trial
from oakfork.control.connections import framed
from oakfork.control.messages import (
    VERSION,
    Ack,
    Ask,
    Beat,
    Delta,
    Hello,
    Kind,
    Position,
    Row,
    Submit,
    Verdict,
    Want,
    Welcome,
    pack,
)
from oakfork.sockets.configuration import parse_address


def frames(chance):
    """One of each kind that could come, and some that could not."""
    return framed(
        pack(
            chance.choice(
                (
                    Hello(VERSION, "x", False, Position(1, 9), 5),
                    Hello(VERSION, "x", True, Position(), 0),
                    Hello(VERSION + 1, "x", False, Position(), 0),
                    Hello(VERSION, "g1", False, Position(0, 7), 1),
                    Ack(Position(1, 1), 3),
                    Want((1, 2, 3)),
                    Ask(),
                    Submit("id", b"{}"),
                    Submit("id", chance.randbytes(50)),
                    Welcome(VERSION, "x", Position(5, 5)),
                    Beat(Position(7, 1), 0),
                    Verdict("id", None, ("x",)),
                    Delta(Position(), Position(9, 9), 1, (Row(Kind.SERVER, "evil", b"1"),), False),
                )
            )
        )
    )


@pytest.mark.parametrize("seed", range(3))
def test_any_bytes_end_their_own_connection_only(tmp_path, seed):
    """At the publisher's and a relay's port, beside followers that go on."""
    chance = random.Random(seed)

    async def throw(place):
        try:
            stream = await trio.open_tcp_stream(*parse_address(place))
            async with stream:
                data = b"".join(frames(chance) for _ in range(chance.randrange(1, 4)))
                match chance.randrange(6):
                    case 0:
                        data = spoilt(chance, data)
                    case 1:
                        data = chance.randbytes(chance.randrange(1, 200))
                    case 2:
                        data = b"GET / HTTP/1.1\r\n\r\n"
                    case 3:
                        data = data[:-1]
                    case 4:
                        data = (connections.LARGEST_FRAME + 1).to_bytes(4, "big") + data
                await stream.send_all(data)
                if chance.random() < 0.5:
                    with trio.move_on_after(0.02):
                        while await stream.receive_some():
                            pass
        except (trio.BrokenResourceError, OSError):
            pass

    async def work(it):
        position = await it.publish(trial.EXAMPLE)
        await until(lambda: all(agent.position == position for agent in it.agents))
        connected = [agent.machine.link for agent in it.agents]
        for _ in range(60):
            await throw(chance.choice((it.publisher_at, it.relays_at[0])))
        for place in (it.publisher_at, it.relays_at[0]):
            async with await trio.open_tcp_stream(*parse_address(place)) as stream:  # ended by the other side, at once
                await stream.send_all(framed(b"\xc1"))
                with trio.fail_after(WAIT):
                    while await stream.receive_some():
                        pass
        for engine in (it.publisher, it.relays[0]):
            assert engine.counts["malformed"] and engine.counts["connection: not a frame of ours"]
            assert "the machine failed" not in engine.counts
        await it.everywhere(await it.publish(servers(range(3), "after")))
        assert connected == [agent.machine.link for agent in it.agents]
        assert all(agent.record(Kind.SERVER, "evil") is None for agent in it.agents)

    play(tmp_path, work)


def test_a_publisher_that_hears_of_a_later_one_takes_no_more_and_says_so(tmp_path):
    async def work(it):
        position = await it.publish(trial.EXAMPLE)
        await it.everywhere(position)
        async with await trio.open_tcp_stream(*parse_address(it.publisher_at)) as stream:
            await stream.send_all(framed(pack(Hello(VERSION, "x", False, Position(7, 1), 5))))
            with trio.fail_after(WAIT):
                while await stream.receive_some():
                    pass
        verdict = await client.publish(it.publisher_at, "more", json.dumps(servers([1], "more")).encode())
        assert verdict.position is None and verdict.faults[0].startswith("older term")
        told = await client.status(it.publisher_at)
        assert told["higher_term"] == 7 and "OLDER TERM: there is a publisher of term 7" in status_text.text(told)
        assert all(agent.position == position and agent.record(Kind.SERVICE, "search") for agent in it.agents)

    play(tmp_path, work)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
        framed(b"\xc1"),
        framed(b""),
        framed(pack(Beat(Position(1, 1), 0))),
        framed(pack(Welcome(VERSION + 1, "f", Position(1, 1)))),
        framed(pack(Ask())),
        framed(pack(Ask()))[:3],
        framed(pack(Welcome(VERSION, "f", Position(1, 1))))
        + framed(pack(Delta(Position(), Position(1, 1), 5, (Row(Kind.SERVER, "evil", b"1"),), False))) * 2,
        framed(pack(Welcome(VERSION, "f", Position(1, 1)))) + b"\xff" * 99,
    ],
    ids=range(9),
)
def test_a_follower_believes_nothing_that_a_false_relay_says(tmp_path, data):
    async def false(stream):
        try:
            await stream.send_all(data)
            await trio.sleep(0.02)
        except trio.BrokenResourceError:
            pass

    async def work(it):
        position = await it.publish(trial.EXAMPLE)
        sock = trio.socket.socket()
        await sock.bind(HERE)
        sock.listen()
        it.nursery.start_soon(trio.serve_listeners, false, [trio.SocketListener(sock)])
        agent = agents.Agent("g9", ["{}:{}".format(*sock.getsockname()), it.relays_at[0]], 9, LOG)
        it.nursery.start_soon(agent.run)
        await until(lambda: agent.position == position)
        assert agent.record(Kind.SERVER, "evil") is None and agent.record(Kind.SERVICE, "search")
        assert "the machine failed" not in agent.counts and agent.counts

    play(tmp_path, work, followers=0)
