"""Arbitrary bytes sent to publisher and relays, or by a false relay, are counted and have no other effect."""

import json
import random

import pytest
import trio
from control_tier import LOG, LOOPBACK, TIMEOUT, run_with_tier, servers, until
from test_any_bytes import corrupted

from oakfork.control import agent as agents, client, connections, status_text, trial
from oakfork.control.connections import framed
from oakfork.control.messages import (
    VERSION,
    Ack,
    Delta,
    Heartbeat,
    Hello,
    Kind,
    Position,
    RangeRequest,
    Row,
    StatusRequest,
    Submit,
    SubmitResult,
    Welcome,
    pack,
)
from oakfork.sockets.configuration import parse_address


def random_frame(rng):
    """A frame that could come, or one that could not."""
    return framed(
        pack(
            rng.choice(
                (
                    Hello(VERSION, "x", False, Position(1, 9), 5),
                    Hello(VERSION, "x", True, Position(), 0),
                    Hello(VERSION + 1, "x", False, Position(), 0),
                    Hello(VERSION, "g1", False, Position(0, 7), 1),
                    Ack(Position(1, 1), 3),
                    RangeRequest((1, 2, 3)),
                    StatusRequest(),
                    Submit("id", b"{}"),
                    Submit("id", rng.randbytes(50)),
                    Welcome(VERSION, "x", Position(5, 5)),
                    Heartbeat(Position(7, 1), 0),
                    SubmitResult("id", None, ("x",)),
                    Delta(Position(), Position(9, 9), 1, (Row(Kind.SERVER, "evil", b"1"),), False),
                )
            )
        )
    )


@pytest.mark.parametrize("seed", range(3))
def test_arbitrary_bytes_end_only_their_own_connection(tmp_path, seed):
    """Followers of the publisher and of a relay go on while other connections send arbitrary bytes there."""
    rng = random.Random(seed)

    async def send_random_bytes(address):
        try:
            stream = await trio.open_tcp_stream(*parse_address(address))
            async with stream:
                data = b"".join(random_frame(rng) for _ in range(rng.randrange(1, 4)))
                match rng.randrange(6):
                    case 0:
                        data = corrupted(rng, data)
                    case 1:
                        data = rng.randbytes(rng.randrange(1, 200))
                    case 2:
                        data = b"GET / HTTP/1.1\r\n\r\n"
                    case 3:
                        data = data[:-1]
                    case 4:
                        data = (connections.LARGEST_FRAME + 1).to_bytes(4, "big") + data
                await stream.send_all(data)
                if rng.random() < 0.5:
                    with trio.move_on_after(0.02):
                        while await stream.receive_some():
                            pass
        except (trio.BrokenResourceError, OSError):
            pass

    async def scenario(tier):
        position = await tier.publish(trial.EXAMPLE)
        await until(lambda: all(agent.position == position for agent in tier.agents))
        connected = [agent.machine.link for agent in tier.agents]
        for _ in range(60):
            await send_random_bytes(rng.choice((tier.publisher_address, tier.relay_addresses[0])))
        for address in (tier.publisher_address, tier.relay_addresses[0]):
            async with await trio.open_tcp_stream(*parse_address(address)) as stream:  # ended by the other side at once
                await stream.send_all(framed(b"\xc1"))
                with trio.fail_after(TIMEOUT):
                    while await stream.receive_some():
                        pass
        for engine in (tier.publisher, tier.relays[0]):
            assert engine.counts["malformed"] and engine.counts["connection: not a frame of ours"]
            assert "the machine failed" not in engine.counts
        await tier.wait_everywhere(await tier.publish(servers(range(3), "after")))
        assert connected == [agent.machine.link for agent in tier.agents]
        assert all(agent.record(Kind.SERVER, "evil") is None for agent in tier.agents)

    run_with_tier(tmp_path, scenario)


def test_an_outdated_publisher_refuses_change_sets_and_reports_it(tmp_path):
    """A publisher that learns of a later term from a follower says so in its answers and its status."""

    async def scenario(tier):
        position = await tier.publish(trial.EXAMPLE)
        await tier.wait_everywhere(position)
        async with await trio.open_tcp_stream(*parse_address(tier.publisher_address)) as stream:
            await stream.send_all(framed(pack(Hello(VERSION, "x", False, Position(7, 1), 5))))
            with trio.fail_after(TIMEOUT):
                while await stream.receive_some():
                    pass
        result = await client.publish(tier.publisher_address, "more", json.dumps(servers([1], "more")).encode())
        assert result.position is None and result.faults[0].startswith("older term")
        status = await client.status(tier.publisher_address)
        assert status["higher_term"] == 7
        assert "OLDER TERM: there is a publisher of term 7" in status_text.text(status)
        assert all(agent.position == position and agent.record(Kind.SERVICE, "search") for agent in tier.agents)

    run_with_tier(tmp_path, scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
        framed(b"\xc1"),
        framed(b""),
        framed(pack(Heartbeat(Position(1, 1), 0))),
        framed(pack(Welcome(VERSION + 1, "f", Position(1, 1)))),
        framed(pack(StatusRequest())),
        framed(pack(StatusRequest()))[:3],
        framed(pack(Welcome(VERSION, "f", Position(1, 1))))
        + framed(pack(Delta(Position(), Position(1, 1), 5, (Row(Kind.SERVER, "evil", b"1"),), False))) * 2,
        framed(pack(Welcome(VERSION, "f", Position(1, 1)))) + b"\xff" * 99,
    ],
    ids=range(9),
)
def test_a_follower_is_unaffected_by_a_false_relay(tmp_path, data):
    """A follower whose first relay sends invalid data gets its state from the second one."""

    async def false_relay(stream):
        try:
            await stream.send_all(data)
            await trio.sleep(0.02)
        except trio.BrokenResourceError:
            pass

    async def scenario(tier):
        position = await tier.publish(trial.EXAMPLE)
        sock = trio.socket.socket()
        await sock.bind(LOOPBACK)
        sock.listen()
        tier.nursery.start_soon(trio.serve_listeners, false_relay, [trio.SocketListener(sock)])
        agent = agents.Agent("g9", ["{}:{}".format(*sock.getsockname()), tier.relay_addresses[0]], 9, LOG)
        tier.nursery.start_soon(agent.run)
        await until(lambda: agent.position == position)
        assert agent.record(Kind.SERVER, "evil") is None and agent.record(Kind.SERVICE, "search")
        assert "the machine failed" not in agent.counts and agent.counts

    run_with_tier(tmp_path, scenario, followers=0)
