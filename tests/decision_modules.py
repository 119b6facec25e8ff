"""Gateways by themselves, and what the tests ask of them again and again."""

import random

from gateway_network import arrival, entry, gateway_settings

from oakfork import interface, peer_codec as wire
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, ServerState, Status


def gateway(index=0, gateways=1, servers=4, **changes) -> DecisionModule:
    module = DecisionModule(gateway_settings(index, gateways, **changes), 0)
    module.handle(0, interface.ServerList(True, False, tuple(entry(server) for server in range(servers))))
    return module


def kinds(commands) -> list[type]:
    return [type(command) for command in commands if not isinstance(command, interface.SetTimer)]


def owned_by(owner: int, gateways: int) -> int:
    """A customer of all gateways whose owner is this one."""
    module = gateway(gateways=gateways)
    return next(c for c in range(999) if module.quotas.owner(arrival(1, c, spread=gateways))[0] == owner)


def frame_of(commands) -> wire.Frame:
    return next(wire.unpack(command.data) for command in commands if isinstance(command, interface.SendPeerFrame))


def ended(rpc, call_out, server, status=Status.OK, final=None) -> interface.CallOutEnded:
    return interface.CallOutEnded(
        rpc, call_out, server, 500, status, status == Status.OK if final is None else final, 0, ()
    )


def asked(module: DecisionModule, now: int):
    module.handle(now, arrival(500 + len(module.rpcs), customer=now + len(module.rpcs)))
    rpc = list(module.rpcs.values())[-1]
    rpc.out.clear()
    rpc.maybe.clear()
    return rpc


def cold(module: DecisionModule):
    module.handle(SECOND, interface.ServerList(False, False, (entry(3, ServerState.READY, SECOND),)))
    return module.servers.all[3]


def told_of(module: DecisionModule, now: int, *readings: wire.Reading, version=wire.VERSION, number=1) -> None:
    packed = [wire.pack_item(reading) for reading in readings]
    data = wire.pack(9, 0, number, now // 10, packed, version=version)
    module.handle(now, interface.PeerFrame(0 if module.settings.index else 1, data))


def forty(servers: int = 60, cold: int = 0) -> list[DecisionModule]:
    """Forty gateways where new connections cost; the last servers of the list have just started."""
    listed = [
        entry(server, ServerState.READY, 50 * SECOND if server >= servers - cold else 0) for server in range(servers)
    ]
    tier = [
        DecisionModule(
            gateway_settings(
                index, 40, seed=random.Random(index).getrandbits(64), connection_price=0.08, idle_timeout=15 * SECOND
            ),
            50 * SECOND,
        )
        for index in range(40)
    ]
    for module in tier:
        module.handle(50 * SECOND, interface.ServerList(True, False, tuple(listed)))
    return tier
