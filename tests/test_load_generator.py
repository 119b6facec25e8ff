"""Open-loop load on the real program."""

import pytest
import trio
from fake_services import settings

from oakfork.lab.fake_services import FakeDiscovery, FakeServer, ServerWorkload, SocketTier, entry
from oakfork.lab.load_generator import LoadGenerator, LoadSettings, LoadSettingsError, loopback


def test_latency_counts_from_the_time_meant(tmp_path):
    """A server that stops for half a second: an open loop sees it in many RPCs, not in one."""

    async def act():
        server = FakeServer(ServerWorkload(mean=0.001, cores=50))
        gone = trio.Event()

        async def stop():
            await trio.sleep(0.5)
            cores, server.cores = server.cores, trio.CapacityLimiter(1)
            async with server.cores:
                await trio.sleep(0.5)
            server.cores = cores
            gone.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            nursery.start_soon(stop)
            report = await LoadGenerator(
                LoadSettings((server.address,), 200, 1.5, 100, 10, "GET", "read", "free", 3000, 1)
            ).run()
            await gone.wait()
            nursery.cancel_scope.cancel()
        return report

    report = trio.run(act)
    assert report.latency_ms["p90"] > 100 and report.bodies_wrong == 0 and report.answers.get("200", 0) > 200


def test_two_real_gateways_under_load_answer_all(tmp_path):
    async def act():
        servers = [FakeServer(ServerWorkload(0.01, 3, 30, seed)) for seed in range(4)]
        listed = [entry(number, server.address) for number, server in enumerate(servers)]
        discovery = FakeDiscovery(listed)
        tier = SocketTier(tmp_path, 2, discovery.address, listed, settings())
        async with trio.open_nursery() as nursery:
            for party in (*servers, discovery):
                nursery.start_soon(party.run)
            with tier.started():
                await tier.ready()
                load = LoadSettings(tuple(tier.listens), 60, 2, 32, 500, "GET", "read", "free", 2000, 1)
                report = await LoadGenerator(load).run()
            nursery.cancel_scope.cancel()
        return report, servers

    report, servers = trio.run(act)
    assert report.answers == {"200": report.asked} and report.bodies_wrong == 0
    assert sum(len(server.ran) for server in servers) == report.asked
    assert report.latency_ms["p50"] >= report.service_ms["p50"]


def test_a_gateway_that_is_not_there_is_reported_and_load_is_bounded():
    report = trio.run(LoadGenerator(LoadSettings(("127.0.0.1:9",), 50, 0.3, 4, 10, "GET", "read", "free", 500, 1)).run)
    assert set(report.answers) == {"refused"}
    with pytest.raises(LoadSettingsError, match="RPCs"):
        LoadGenerator(LoadSettings(("127.0.0.1:9",), 20_000, 600, 4, 10, "GET", "read", "free", 500, 1))
    assert loopback("127.0.0.7:80") == ("127.0.0.7", 80)
