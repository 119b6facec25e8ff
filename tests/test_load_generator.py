"""Open-loop load on fake servers and on the real program."""

import pytest
import trio
from fake_services import settings

from oakfork.lab.fake_services import FakeDiscovery, FakeServer, ServerWorkload, SocketTier, entry
from oakfork.lab.load_generator import LoadGenerator, LoadSettings, LoadSettingsError, loopback


def test_latency_counts_from_the_scheduled_time():
    """A server that stalls for half a second delays many RPCs of an open loop, not only one (coordinated omission)."""

    async def measure():
        server = FakeServer(ServerWorkload(mean=0.001, cores=50))
        stall_over = trio.Event()

        async def stall():
            await trio.sleep(0.5)
            cores, server.cores = server.cores, trio.CapacityLimiter(1)
            async with server.cores:
                await trio.sleep(0.5)
            server.cores = cores
            stall_over.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            nursery.start_soon(stall)
            report = await LoadGenerator(
                LoadSettings((server.address,), 200, 1.5, 100, 10, "GET", "read", "free", 3000, 1)
            ).run()
            await stall_over.wait()
            nursery.cancel_scope.cancel()
        return report

    report = trio.run(measure)
    assert report.latency_ms["p90"] > 100 and report.bodies_wrong == 0 and report.answers.get("200", 0) > 200


def test_two_real_gateways_under_load_answer_every_rpc(tmp_path):
    """Every RPC gets status 200, and exactly one server executed it."""

    async def measure():
        servers = [FakeServer(ServerWorkload(0.01, 3, 30, seed)) for seed in range(4)]
        rows = [entry(number, server.address) for number, server in enumerate(servers)]
        discovery = FakeDiscovery(rows)
        tier = SocketTier(tmp_path, 2, discovery.address, rows, settings())
        async with trio.open_nursery() as nursery:
            for service in (*servers, discovery):
                nursery.start_soon(service.run)
            with tier.started():
                await tier.ready()
                load = LoadSettings(tuple(tier.listens), 60, 2, 32, 500, "GET", "read", "free", 2000, 1)
                report = await LoadGenerator(load).run()
            nursery.cancel_scope.cancel()
        return report, servers

    report, servers = trio.run(measure)
    assert report.answers == {"200": report.asked} and report.bodies_wrong == 0
    assert sum(len(server.ran) for server in servers) == report.asked
    assert report.latency_ms["p50"] >= report.service_ms["p50"]


def test_an_unreachable_gateway_is_reported_and_excessive_load_is_refused():
    """A refused connection is counted by its outcome; a load beyond the bounds raises before anything is sent."""
    report = trio.run(LoadGenerator(LoadSettings(("127.0.0.1:9",), 50, 0.3, 4, 10, "GET", "read", "free", 500, 1)).run)
    assert set(report.answers) == {"refused"}
    with pytest.raises(LoadSettingsError, match="over 1000000 RPCs: 20000 a second for 600 s"):
        LoadGenerator(LoadSettings(("127.0.0.1:9",), 20_000, 600, 4, 10, "GET", "read", "free", 500, 1))
    assert loopback("127.0.0.7:80") == ("127.0.0.7", 80)
