"""Single decision modules for tests, and what tests often need of them."""

import random

from gateway_network import arrival, entry, gateway_settings

from oakfork import interface, peer_codec as wire
from oakfork.decision import DecisionModule
from oakfork.decision.context import Rpc
from oakfork.decision.server import Server
from oakfork.interface import SECOND, ServerState, Status


def gateway(index=0, gateways=1, servers=4, **changes) -> DecisionModule:
    """A decision module at time 0 that knows some ready servers."""
    module = DecisionModule(gateway_settings(index, gateways, **changes), 0)
    module.handle(0, interface.ServerList(True, False, tuple(entry(server) for server in range(servers))))
    return module


def kinds(commands) -> list[type]:
    """The types of commands, without timers."""
    return [type(command) for command in commands if not isinstance(command, interface.SetTimer)]


def owned_by(owner: int, gateways: int) -> int:
    """A customer of all gateways whose owner is this one."""
    module = gateway(gateways=gateways)
    return next(c for c in range(999) if module.quotas.owner(arrival(1, c, spread=gateways))[0] == owner)


def frame_of(commands) -> wire.Frame:
    """The first frame among commands, decoded."""
    return next(wire.unpack(command.data) for command in commands if isinstance(command, interface.SendPeerFrame))


def ended(rpc, call_out, server, status=Status.OK, final=None) -> interface.CallOutEnded:
    """The end of a call-out after 50 ms; final where it is OK, unless stated otherwise."""
    is_final = status == Status.OK if final is None else final
    return interface.CallOutEnded(rpc, call_out, server, 500, status, is_final, 0, ())


def pending_rpc(module: DecisionModule, now: int) -> Rpc:
    """An RPC that has come in and has no call-outs."""
    module.handle(now, arrival(500 + len(module.rpcs), customer=now + len(module.rpcs)))
    rpc = list(module.rpcs.values())[-1]
    rpc.open_call_outs.clear()
    rpc.may_have_run.clear()
    return rpc


def start_cold_server(module: DecisionModule) -> Server:
    """Tells a module that server 3 has started after one second."""
    module.handle(SECOND, interface.ServerList(False, False, (entry(3, ServerState.READY, SECOND),)))
    return module.servers.all[3]


def receive_readings(module: DecisionModule, now: int, *readings: wire.Reading, version=wire.VERSION, number=1) -> None:
    """Delivers a peer's frame with readings."""
    packed = [wire.pack_item(reading) for reading in readings]
    data = wire.pack(9, 0, number, now // 10, packed, version=version)
    module.handle(now, interface.PeerFrame(0 if module.settings.index else 1, data))


def forty_gateways(servers: int = 60, cold: int = 0) -> list[DecisionModule]:
    """Forty gateways where new connections cost; the last servers of the list have just started."""
    first_cold = servers - cold
    entries = [
        entry(server, ServerState.READY, 50 * SECOND if server >= first_cold else 0) for server in range(servers)
    ]
    modules = []
    for index in range(40):
        seed = random.Random(index).getrandbits(64)
        settings = gateway_settings(index, 40, seed=seed, connection_price=0.08, idle_timeout=15 * SECOND)
        modules.append(DecisionModule(settings, 50 * SECOND))
    for module in modules:
        module.handle(50 * SECOND, interface.ServerList(True, False, tuple(entries)))
    return modules
