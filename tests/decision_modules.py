"""Gateways by themselves, and what the tests ask of them again and again."""

import random

from gateway_network import arrival, birth, entry

from oakfork import interface as face, peer_codec as wire
from oakfork.decision import Brain
from oakfork.interface import SECOND, State, Status


def gateway(index=0, gateways=1, servers=4, **changes) -> Brain:
    brain = Brain(birth(index, gateways, **changes), 0)
    brain.handle(0, face.ServerList(True, False, tuple(entry(server) for server in range(servers))))
    return brain


def kinds(commands) -> list[type]:
    return [type(command) for command in commands if not isinstance(command, face.Wake)]


def owned_by(owner: int, gateways: int) -> int:
    """A customer of all gateways whose owner is this one."""
    brain = gateway(gateways=gateways)
    return next(c for c in range(999) if brain.quotas.owner(arrival(1, c, spread=gateways))[0] == owner)


def frame_of(commands) -> wire.Frame:
    return next(wire.unpack(command.data) for command in commands if isinstance(command, face.Tell))


def ended(rpc, call_out, server, status=Status.OK, final=None) -> face.CallOutEnded:
    return face.CallOutEnded(rpc, call_out, server, 500, status, status == Status.OK if final is None else final, 0, ())


def asked(brain: Brain, now: int):
    brain.handle(now, arrival(500 + len(brain.rpcs), customer=now + len(brain.rpcs)))
    rpc = list(brain.rpcs.values())[-1]
    rpc.out.clear()
    rpc.maybe.clear()
    return rpc


def cold(brain: Brain):
    brain.handle(SECOND, face.ServerList(False, False, (entry(3, State.READY, SECOND),)))
    return brain.servers.all[3]


def told_of(brain: Brain, now: int, *readings: wire.Reading, version=wire.VERSION, number=1) -> None:
    packed = [wire.pack_item(reading) for reading in readings]
    data = wire.pack(9, 0, number, now // 10, packed, version=version)
    brain.handle(now, face.PeerFrame(0 if brain.birth.index else 1, data))


def forty(servers: int = 60, cold: int = 0) -> list[Brain]:
    """Forty gateways where new connections cost; the last servers of the list have just started."""
    listed = [entry(server, State.READY, 50 * SECOND if server >= servers - cold else 0) for server in range(servers)]
    tier = [
        Brain(
            birth(index, 40, seed=random.Random(index).getrandbits(64), connection_price=0.08, idle_time=15 * SECOND),
            50 * SECOND,
        )
        for index in range(40)
    ]
    for brain in tier:
        brain.handle(50 * SECOND, face.ServerList(True, False, tuple(listed)))
    return tier
