"""Publisher, relays and followers over real sockets and as processes, also while some of them fail."""

import json
import re
import socket
import subprocess
import sys
from contextlib import nullcontext
from dataclasses import replace

import pytest
import trio
from click.testing import CliRunner
from control_tier import LOG, LOOPBACK, TIMEOUT, address_of, publisher_config, run_with_tier, servers, until
from lab_worlds import ROOT

from oakfork.control import agent as agents, client, connections, status_text, trial
from oakfork.control.cli import control
from oakfork.control.connections import framed, listen
from oakfork.control.database import Database
from oakfork.control.messages import VERSION, Hello, Kind, Position, pack
from oakfork.control.processes import publisher_engine
from oakfork.errors import DatabaseError, PublisherTimeoutError
from oakfork.sockets.configuration import parse_address


def test_a_change_set_comes_into_force_everywhere_and_the_status_says_so(tmp_path):
    """Agents look up its records and hand over its servers in slices; all keys of the status are documented."""

    async def scenario(tier):
        await tier.wait_everywhere(await tier.publish(trial.EXAMPLE))
        position = await tier.publish(servers(range(2560), "a-zone"))
        status = await tier.wait_everywhere(position)
        assert status["everywhere"] and status["connected"] == 5 and not status["gone"] and status["queued"] == 0
        assert {relay["who"] for relay in status["relays"]} == {"here/r1", "here/r2"}
        for agent in tier.agents:
            assert agent.position == position and agent.age() is not None
            assert agent.record(Kind.SERVER, "s7").service == "search" and agent.record(Kind.SERVER, "s2560") is None
            assert agent.record(Kind.ROUTE, "search-all").host == "example.org"
            assert agent.record(Kind.TENANT, "00000000b4d65521").rate == 20
        await until(lambda: sum(map(len, tier.handed_over)) == 2564)
        assert max(map(len, tier.handed_over)) <= agents.SLICE
        assert tier.handed_over[0][0] == {
            key: value for key, value in trial.EXAMPLE["put"]["servers"][0].items() if key != "service"
        }
        tier.handed_over.clear()
        gone = {"id": "gone", "drop": {"servers": [f"s{number}" for number in range(2560)]}}
        await tier.wait_everywhere(await tier.publish(gone))
        await until(lambda: sum(map(len, tier.handed_over)) == 2560)
        assert all(row == {"id": row["id"], "state": "removed"} for rows in tier.handed_over for row in rows)
        documentation = (ROOT / "docs/control.md").read_text()
        for address in (tier.publisher_address, tier.relay_addresses[0]):
            assert not [key for key in await client.status(address) if f"`{key}`" not in documentation]
        text = status_text.text(await client.status(tier.publisher_address))
        assert "in force at all 5 that are connected" in text and "relay   here/r1" in text
        assert "follows " + tier.publisher_address in status_text.text(await client.status(tier.relay_addresses[0]))

    run_with_tier(tmp_path, scenario)


def test_agents_hand_over_servers_of_one_service_and_survive_a_failing_receiver(tmp_path):
    """A server that moves to another service is removed; an exception on a hand-over costs only those servers."""

    async def scenario(tier):
        of_service = []
        slices = []

        def fail_once(rows):
            slices.append(rows)
            if len(slices) == 1:
                raise KeyError("a fault in the gateway")

        for number, (receive, service) in enumerate(((of_service.extend, "search"), (fail_once, None)), 5):
            tier.nursery.start_soon(agents.Agent(f"g{number}", tier.relay_addresses, number, LOG, receive, service).run)
        await tier.publish(trial.EXAMPLE)
        await until(lambda: len(of_service) == 4 and slices)
        service = trial.EXAMPLE["put"]["services"][0]
        server = trial.EXAMPLE["put"]["servers"][0]
        await tier.publish(
            {
                "id": "moved",
                "put": {
                    "services": [service | {"name": "b"}],
                    "servers": [server | {"service": "b"}, server | {"id": "b-1", "addr": "b:1", "service": "b"}],
                },
            }
        )
        await until(lambda: len(of_service) == 5 and len(slices) == 2)
        assert of_service[4] == {"id": "search-1", "state": "removed"}
        assert {row["id"]: row["state"] for row in slices[1]} == {"search-1": "up", "b-1": "up"}

    run_with_tier(tmp_path, scenario, followers=0)


def test_a_refused_change_set_changes_nothing_and_has_faults(tmp_path):
    """An accepted file submitted again has no second effect, but an edited one under the same id is another set."""

    async def scenario(tier):
        position = await tier.publish(trial.EXAMPLE)
        for change, path in (
            (servers([1], "x", service="none"), "put.servers[0].service"),
            (servers([1], "x", state="lost"), "put.servers[0].state"),
            ({"id": "x", "drop": {"services": ["search"]}}, "drop.services[0]"),
        ):
            result = await client.publish(tier.publisher_address, "x", json.dumps(change).encode())
            assert result.position is None and result.faults[0].startswith(path + ": ")
        assert tier.publisher.machine.position == position
        assert await tier.publish(trial.EXAMPLE) == position  # no second effect
        assert tier.database.position == position
        edited = json.loads(json.dumps(trial.EXAMPLE))
        edited["put"]["tenants"][0]["rate"] = 30
        assert await tier.publish(edited) > position  # under the same id

    run_with_tier(tmp_path, scenario, followers=0)


def test_a_lost_answer_is_repeated_without_a_second_effect(tmp_path):
    """A proxy drops the first answer to the operator, who submits again."""

    async def scenario(tier):
        positions = []

        async def proxy(stream):
            async with await trio.open_tcp_stream(*parse_address(tier.publisher_address)) as upstream:
                data = b""
                while len(data) < 4 or len(data) < 4 + (int.from_bytes(data[:4], "big") & ~connections.COMPRESSED):
                    data += await stream.receive_some()
                await upstream.send_all(data)
                answer = await upstream.receive_some()
                if positions:
                    await stream.send_all(answer)
                positions.append(tier.database.position)

        sock = trio.socket.socket()
        await sock.bind(LOOPBACK)
        sock.listen()
        tier.nursery.start_soon(trio.serve_listeners, proxy, [trio.SocketListener(sock)])
        address = "{}:{}".format(*sock.getsockname())
        result = await client.publish(address, "one", json.dumps(trial.EXAMPLE).encode())
        assert positions == [result.position, result.position] == [Position(1, 1)] * 2

    run_with_tier(tmp_path, scenario, followers=0)


def test_followers_of_a_relay_that_is_gone_switch_to_the_other(tmp_path):
    """With no relay left, agents keep the state that they have."""

    async def scenario(tier):
        await tier.wait_everywhere(await tier.publish(trial.EXAMPLE))
        tier.scopes["r1"].cancel()
        position = await tier.publish(servers(range(5), "two"))
        status = await tier.wait_everywhere(position)
        assert [relay["who"] for relay in status["relays"]] == ["here/r2"] and status["relays"][0]["reached"] == 3
        assert [follower["who"] for follower in status["gone"]] == ["here/r1"]
        tier.scopes["r2"].cancel()
        await until(lambda: all(agent.counts.get("not connected: REFUSED") for agent in tier.agents))
        assert all(agent.position == position and agent.record(Kind.SERVER, "s4") for agent in tier.agents)

    run_with_tier(tmp_path, scenario)


def test_a_follower_that_does_not_answer_delays_no_one_and_is_named(tmp_path):
    """The status names it as behind, and as gone once its connection ends."""

    async def scenario(tier):
        async with await trio.open_tcp_stream(*parse_address(tier.relay_addresses[0])) as stream:
            await stream.send_all(framed(pack(Hello(VERSION, "slow", False, Position(), 0))))
            await tier.publish(trial.EXAMPLE)
            position = await tier.publish(servers(range(50), "more"))
            await until(lambda: all(agent.position == position for agent in tier.agents))
            with trio.fail_after(TIMEOUT):
                status = await client.status(tier.publisher_address)
                while [follower["who"] for follower in status["behind"]] != ["slow"]:
                    await trio.sleep(0.02)
                    status = await client.status(tier.publisher_address)
            assert not status["everywhere"]
            assert "behind  slow: 0.0, for " in status_text.text(status)
        status = await tier.wait_everywhere(position)
        assert [follower["who"] for follower in status["gone"]] == ["slow"]

    run_with_tier(tmp_path, scenario)


def test_a_change_set_that_cannot_be_stored_is_refused_and_the_next_accepted(tmp_path):
    """Storing is tried twice before the change set is refused."""

    async def scenario(tier):
        calls = []
        commit = tier.database.commit

        def fail(*_):
            calls.append(1)
            raise DatabaseError("no room on the disk")

        tier.database.commit = fail
        result = await client.publish(tier.publisher_address, "one", json.dumps(trial.EXAMPLE).encode())
        assert result.position is None and result.faults == ("not stored: no room on the disk",)
        assert len(calls) == 2
        tier.database.commit = commit
        assert await tier.publish(trial.EXAMPLE) == Position(1, 1)

    run_with_tier(tmp_path, scenario, followers=0)


@pytest.mark.parametrize("fails", (False, True))
def test_a_change_set_being_stored_when_a_later_publisher_appears_is_reverted(tmp_path, fails):
    """It is answered as refused and not there after a restart; if it can't be reverted, it is not answered."""

    async def scenario(tier):
        commit = tier.database.commit

        def commit_slowly(*arguments):
            commit(*arguments)
            trio.from_thread.run(until, lambda: tier.publisher.machine.follower_server.outdated)

        def fail(*_):
            raise DatabaseError("no room on the disk")

        tier.database.commit = commit_slowly
        results = []
        if fails:
            tier.database.uncommit = fail

        async def submit():
            with pytest.raises(PublisherTimeoutError) if fails else nullcontext():
                results.append(
                    await client.publish(tier.publisher_address, "one", json.dumps(trial.EXAMPLE).encode(), 2.0)
                )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit)
            await until(lambda: tier.publisher.machine.storing)
            async with await trio.open_tcp_stream(*parse_address(tier.publisher_address)) as stream:
                await stream.send_all(framed(pack(Hello(VERSION, "late", False, Position(9, 1), 0))))
                await until(lambda: tier.publisher.machine.follower_server.outdated)
        assert [result.position for result in results] == ([] if fails else [None])
        assert tier.publisher.machine.position == Position(1, 0)
        tier.scopes["p"].cancel()
        tier.database.close()
        reopened = Database(tmp_path / "db")
        assert len(reopened.loaded.entries) == int(fails)
        reopened.close()

    run_with_tier(tmp_path, scenario, followers=0)


def test_of_two_publishers_the_older_learns_of_the_other_and_refuses_changes(tmp_path):
    """A publisher asks others for their terms, so it notices without any follower in common."""

    async def scenario(tier):
        database = Database(tmp_path / "later")
        listener = listen(LOOPBACK)
        config = publisher_config("q", above_term=4, others=(tier.publisher_address,))
        later = publisher_engine(config, database, LOG)
        tier.run("q", later.run, listener)
        older_database = Database(tmp_path / "older")
        older_listener = listen(LOOPBACK)
        older = publisher_engine(replace(config, above_term=0, others=(address_of(listener),)), older_database, LOG)
        tier.run("o", older.run, older_listener)
        await until(lambda: older.machine.follower_server.higher_term)
        result = await client.publish(address_of(older_listener), "one", json.dumps(trial.EXAMPLE).encode())
        assert result.position is None and result.faults[0].startswith("older term")
        result = await client.publish(address_of(listener), "one", json.dumps(trial.EXAMPLE).encode())
        assert result.position == Position(5, 1) and not later.machine.follower_server.higher_term
        for name in ("q", "o"):
            tier.scopes[name].cancel()
        database.close()
        older_database.close()

    run_with_tier(tmp_path, scenario, followers=0)


def position_in(output):
    """The position that `publish` has printed: term and number."""
    return tuple(map(int, re.search(r"position (\d+)\.(\d+)\n", output).groups()))


def test_processes_survive_the_kill_of_a_relay_and_of_the_publisher(tmp_path):
    """The commands of `oakfork control` work before and after, and a repeated file has no second effect."""
    processes = trial.Processes(tmp_path)
    try:
        address = trial.start_all(processes)
        (tmp_path / "one.json").write_text(json.dumps(trial.EXAMPLE))
        (tmp_path / "two.json").write_text(json.dumps(servers(range(9), "two")))
        (tmp_path / "bad.json").write_text('{"id": "bad", "put": {"tenants": [{}]}}')

        def run_command(*arguments):
            return CliRunner().invoke(control, list(arguments))

        done = run_command("publish", str(tmp_path / "one.json"), "--to", address)
        term, number = position_in(done.output)
        assert done.exit_code == 0 and number == 1
        trial.wait_for_status(address, lambda status: status_text.in_force_everywhere(status, (term, 1), 3))
        processes.kill("relay-1")
        done = run_command("publish", str(tmp_path / "two.json"), "--to", address)
        assert done.exit_code == 0 and position_in(done.output) == (term, 2)
        trial.wait_for_status(
            address, lambda status: status_text.in_force_everywhere(status, (term, 2), 3) and len(status["relays"]) == 1
        )
        done = run_command("publish", str(tmp_path / "bad.json"), "--to", address)
        assert done.exit_code == 2 and "put.tenants[0]: 'id' is a required property" in done.output
        processes.kill("publisher")
        done = run_command("status", address, "--seconds", "0.3")
        assert done.exit_code == 1 and "REFUSED" in done.output
        toml = tmp_path / "publisher.toml"
        toml.write_text(toml.read_text().replace("127.0.0.1:0", address))
        processes.start("publisher", "publisher", str(toml))
        processes.address_of("publisher")
        done = run_command("publish", str(tmp_path / "two.json"), "--to", address)  # as if the answer had been lost
        assert done.exit_code == 0 and position_in(done.output) == (term, 2)
        trial.wait_for_status(address, lambda status: status_text.in_force_everywhere(status, (term + 1, 2), 3))
        assert "in force at all 4 that are connected" in run_command("status", address).output
        later_term, number = json.loads(run_command("status", "--json", address).output)["position"]
        assert later_term > term and number == 2
    finally:
        processes.close()
    assert all(process.returncode in (0, -9) for process in processes.all.values())
    assert "Traceback" not in "".join(path.read_text() for path in tmp_path.glob("*.log"))


@pytest.mark.parametrize(
    "arguments, status, output",
    [
        (["publisher", "/nowhere"], 2, "No such file"),
        (["relay", str(ROOT / "README.md")], 2, "the file: "),
        (["publish", "/nowhere", "--to", "127.0.0.1:1"], 2, "No such file"),
        (["status", "nowhere"], 2, "not an address"),
        (["status", "127.0.0.1:1", "--seconds", "0.1"], 1, "REFUSED"),
        (["follow", "a:1"], 2, "--name"),
        (["publish", str(ROOT / "README.md"), "--to", "127.0.0.1:1"], 2, "the file: "),
    ],
)
def test_command_line_errors(arguments, status, output):
    """Mistakes end a command with a message and the right exit code, without a traceback."""
    done = CliRunner().invoke(control, arguments)
    assert done.exit_code == status and output in done.output and "Traceback" not in done.output


def test_an_unusable_database_or_address_ends_a_publisher_with_a_message(tmp_path):
    """Errors on starting a publisher are reported without a traceback."""
    (tmp_path / "db").write_bytes(b"not a database, and long enough not to be one" * 99)
    with socket.create_server(LOOPBACK) as taken:
        file = tmp_path / "p.toml"
        for port, name in ((0, "db"), (taken.getsockname()[1], "other")):
            file.write_text(
                f'name = "p"\nregion = "here"\nlisten = "127.0.0.1:{port}"\n' f'database = "{tmp_path / name}"\n'
            )
            done = subprocess.run(
                [sys.executable, "-m", "oakfork.control.cli", "publisher", str(file)],
                capture_output=True,
                text=True,
                timeout=20,
                cwd=ROOT,
            )
            assert done.returncode == 1 and done.stderr.startswith("oakfork: ") and "Traceback" not in done.stderr
