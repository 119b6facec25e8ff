"""Publisher, relays and followers over real sockets: published, in force, known to be; whatever is killed or sent."""

import json
import socket
import subprocess
import sys
from contextlib import nullcontext
from dataclasses import replace

import pytest
import trio
from click.testing import CliRunner
from control_tier import HERE, LOG, WAIT, place_of, play, servers, until
from lab_worlds import ROOT

from oakfork.control import agent as agents, client, connections, status_text, trial
from oakfork.control.cli import control
from oakfork.control.config import PublisherFile
from oakfork.control.connections import framed, listen
from oakfork.control.database import Database
from oakfork.control.messages import VERSION, Hello, Kind, Position, pack
from oakfork.control.processes import publisher_engine
from oakfork.errors import DatabaseError, PublisherTimeoutError
from oakfork.sockets.configuration import parse_address


def test_a_change_set_is_in_force_everywhere_and_known_to_be(tmp_path):
    async def work(it):
        await it.everywhere(await it.publish(trial.EXAMPLE))
        position = await it.publish(servers(range(2560), "a-zone"))
        told = await it.everywhere(position)
        assert told["everywhere"] and told["connected"] == 5 and not told["gone"] and told["queued"] == 0
        assert {row["who"] for row in told["relays"]} == {"here/r1", "here/r2"}
        for agent in it.agents:
            assert agent.position == position and agent.age() is not None
            assert agent.record(Kind.SERVER, "s7").service == "search" and agent.record(Kind.SERVER, "s2560") is None
            assert agent.record(Kind.ROUTE, "search-all").host == "example.org"
            assert agent.record(Kind.TENANT, "00000000b4d65521").rate == 20
        await until(lambda: sum(map(len, it.given)) == 2564)
        assert max(map(len, it.given)) <= agents.SLICE
        assert it.given[0][0] == {
            key: value for key, value in trial.EXAMPLE["put"]["servers"][0].items() if key != "service"
        }
        it.given.clear()
        gone = {"id": "gone", "drop": {"servers": [f"s{number}" for number in range(2560)]}}
        await it.everywhere(await it.publish(gone))
        await until(lambda: sum(map(len, it.given)) == 2560)
        assert all(row == {"id": row["id"], "state": "removed"} for rows in it.given for row in rows)
        page = (ROOT / "docs/control.md").read_text()
        for place in (it.publisher_at, it.relays_at[0]):
            assert not [key for key in await client.status(place) if f"`{key}`" not in page]
        text = status_text.text(await client.status(it.publisher_at))
        assert "in force at all 5 that are connected" in text and "relay   here/r1" in text
        assert "follows " + it.publisher_at in status_text.text(await client.status(it.relays_at[0]))

    play(tmp_path, work)


def test_a_gateway_is_given_its_services_servers_and_what_it_fails_to_take_costs_nothing_else(tmp_path):
    async def work(it):
        given, others = [], []

        def take(rows):
            others.append(rows)
            if len(others) == 1:
                raise KeyError("a fault in the gateway")

        for number, (taker, service) in enumerate(((given.extend, "search"), (take, None)), 5):
            it.nursery.start_soon(agents.Agent(f"g{number}", it.relays_at, number, LOG, taker, service).run)
        await it.publish(trial.EXAMPLE)
        await until(lambda: len(given) == 4 and others)
        service, server = trial.EXAMPLE["put"]["services"][0], trial.EXAMPLE["put"]["servers"][0]
        await it.publish(
            {
                "id": "moved",
                "put": {
                    "services": [service | {"name": "b"}],
                    "servers": [server | {"service": "b"}, server | {"id": "b-1", "addr": "b:1", "service": "b"}],
                },
            }
        )
        await until(lambda: len(given) == 5 and len(others) == 2)
        assert given[4] == {"id": "search-1", "state": "removed"}
        assert {row["id"]: row["state"] for row in others[1]} == {"search-1": "up", "b-1": "up"}

    play(tmp_path, work, followers=0)


def test_one_that_is_refused_changes_nothing_and_says_why(tmp_path):
    async def work(it):
        position = await it.publish(trial.EXAMPLE)
        for change, place in (
            (servers([1], "x", service="none"), "put.servers[0].service"),
            (servers([1], "x", state="lost"), "put.servers[0].state"),
            ({"id": "x", "drop": {"services": ["search"]}}, "drop.services[0]"),
        ):
            verdict = await client.publish(it.publisher_at, "x", json.dumps(change).encode())
            assert verdict.position is None and verdict.faults[0].startswith(place + ": ")
        assert it.publisher.machine.position == position
        assert await it.publish(trial.EXAMPLE) == position  # the same again: no second effect
        assert it.database.position == position
        edited = json.loads(json.dumps(trial.EXAMPLE))
        edited["put"]["tenants"][0]["rate"] = 30
        assert await it.publish(edited) > position  # under the same id, but not the same

    play(tmp_path, work, followers=0)


def test_an_answer_that_is_lost_costs_a_second_asking_and_no_second_effect(tmp_path):
    async def work(it):
        lost = []

        async def between(stream):
            async with await trio.open_tcp_stream(*parse_address(it.publisher_at)) as behind:
                data = b""
                while len(data) < 4 or len(data) < 4 + (int.from_bytes(data[:4], "big") & ~connections.ZIPPED):
                    data += await stream.receive_some()
                await behind.send_all(data)
                answer = await behind.receive_some()
                if lost:
                    await stream.send_all(answer)
                lost.append(it.database.position)

        sock = trio.socket.socket()
        await sock.bind(HERE)
        sock.listen()
        it.nursery.start_soon(trio.serve_listeners, between, [trio.SocketListener(sock)])
        place = "{}:{}".format(*sock.getsockname())
        verdict = await client.publish(place, "one", json.dumps(trial.EXAMPLE).encode())
        assert lost == [verdict.position, verdict.position] == [Position(1, 1)] * 2

    play(tmp_path, work, followers=0)


def test_followers_of_a_relay_that_is_gone_turn_to_the_other(tmp_path):
    async def work(it):
        await it.everywhere(await it.publish(trial.EXAMPLE))
        it.scopes["r1"].cancel()
        position = await it.publish(servers(range(5), "two"))
        told = await it.everywhere(position)
        assert [row["who"] for row in told["relays"]] == ["here/r2"] and told["relays"][0]["reached"] == 3
        assert [row["who"] for row in told["gone"]] == ["here/r1"]
        it.scopes["r2"].cancel()  # both: what is in force stays so
        await until(lambda: all(agent.counts.get("not connected: REFUSED") for agent in it.agents))
        assert all(agent.position == position and agent.record(Kind.SERVER, "s4") for agent in it.agents)

    play(tmp_path, work)


def test_one_that_does_not_answer_holds_nobody_back_and_is_named(tmp_path):
    async def work(it):
        async with await trio.open_tcp_stream(*parse_address(it.relays_at[0])) as stream:
            await stream.send_all(framed(pack(Hello(VERSION, "slow", False, Position(), 0))))
            await it.publish(trial.EXAMPLE)
            position = await it.publish(servers(range(50), "more"))
            await until(lambda: all(agent.position == position for agent in it.agents))
            with trio.fail_after(WAIT):
                told = await client.status(it.publisher_at)
                while [row["who"] for row in told["behind"]] != ["slow"]:
                    await trio.sleep(0.02)
                    told = await client.status(it.publisher_at)
            assert not told["everywhere"]
            assert "behind  slow: 0.0, for " in status_text.text(told)
        told = await it.everywhere(position)
        assert [row["who"] for row in told["gone"]] == ["slow"]

    play(tmp_path, work)


def test_what_the_disk_does_not_take_is_refused_and_the_next_is_taken(tmp_path):
    async def work(it):
        failed, commit = [], it.database.commit

        def failing(*_):
            failed.append(1)
            raise DatabaseError("no room on the disk")

        it.database.commit = failing
        verdict = await client.publish(it.publisher_at, "one", json.dumps(trial.EXAMPLE).encode())
        assert verdict.position is None and verdict.faults == ("not stored: no room on the disk",) and len(failed) == 2
        it.database.commit = commit
        assert await it.publish(trial.EXAMPLE) == Position(1, 1)

    play(tmp_path, work, followers=0)


@pytest.mark.parametrize("fails", (False, True))
def test_what_is_on_its_way_to_the_disk_when_a_later_publisher_is_heard_of_is_taken_back(tmp_path, fails):
    """Answered as refused, it is not in force after a restart; where the disk fails, it is not answered."""

    async def work(it):
        commit = it.database.commit

        def slow(*told):
            commit(*told)
            trio.from_thread.run(until, lambda: it.publisher.machine.follower_server.outdated)

        def failing(*_):
            raise DatabaseError("no room on the disk")

        it.database.commit, verdicts = slow, []
        if fails:
            it.database.uncommit = failing

        async def submit():
            with pytest.raises(PublisherTimeoutError) if fails else nullcontext():
                verdicts.append(await client.publish(it.publisher_at, "one", json.dumps(trial.EXAMPLE).encode(), 2.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit)
            await until(lambda: it.publisher.machine.kept)
            async with await trio.open_tcp_stream(*parse_address(it.publisher_at)) as stream:
                await stream.send_all(framed(pack(Hello(VERSION, "late", False, Position(9, 1), 0))))
                await until(lambda: it.publisher.machine.follower_server.outdated)
        assert [verdict.position for verdict in verdicts] == ([] if fails else [None])
        assert it.publisher.machine.position == Position(1, 0)
        it.scopes["p"].cancel()
        it.database.close()
        again = Database(tmp_path / "db")
        assert len(again.loaded.entries) == int(fails)
        again.close()

    play(tmp_path, work, followers=0)


def test_of_two_publishers_the_older_one_hears_of_the_other_and_takes_no_more(tmp_path):
    async def work(it):
        database, listener = Database(tmp_path / "later"), listen(HERE)
        file = PublisherFile("q", "here", HERE, "", 4_000_000, 64, 4096, 65_536, 4, (it.publisher_at,))
        later = publisher_engine(file, database, LOG)
        it.run("q", later.run, listener)
        older_database, older_listener = Database(tmp_path / "older"), listen(HERE)
        older = publisher_engine(replace(file, above_term=0, others=(place_of(listener),)), older_database, LOG)
        it.run("o", older.run, older_listener)
        await until(lambda: older.machine.follower_server.higher)
        verdict = await client.publish(place_of(older_listener), "one", json.dumps(trial.EXAMPLE).encode())
        assert verdict.position is None and verdict.faults[0].startswith("older term")
        verdict = await client.publish(place_of(listener), "one", json.dumps(trial.EXAMPLE).encode())
        assert verdict.position == Position(5, 1) and not later.machine.follower_server.higher
        for name in ("q", "o"):
            it.scopes[name].cancel()
        database.close()
        older_database.close()

    play(tmp_path, work, followers=0)


def test_as_processes_with_a_relay_and_the_publisher_killed(tmp_path):
    processes = trial.Processes(tmp_path)
    try:
        place = trial.started(processes)
        (tmp_path / "one.json").write_text(json.dumps(trial.EXAMPLE))
        (tmp_path / "two.json").write_text(json.dumps(servers(range(9), "two")))
        (tmp_path / "bad.json").write_text('{"id": "bad", "put": {"tenants": [{}]}}')

        def said(*words):
            return CliRunner().invoke(control, list(words))

        done = said("publish", str(tmp_path / "one.json"), "--to", place)
        assert done.exit_code == 0 and "position 1.1" in done.output
        trial.everywhere(place, lambda told: status_text.in_force_everywhere(told, (1, 1), 3))
        processes.kill("relay-1")
        done = said("publish", str(tmp_path / "two.json"), "--to", place)
        assert done.exit_code == 0 and "position 1.2" in done.output
        trial.everywhere(
            place, lambda told: status_text.in_force_everywhere(told, (1, 2), 3) and len(told["relays"]) == 1
        )
        done = said("publish", str(tmp_path / "bad.json"), "--to", place)
        assert done.exit_code == 2 and "put.tenants[0]: 'id' is a required property" in done.output
        processes.kill("publisher")
        done = said("status", place, "--seconds", "0.3")
        assert done.exit_code == 1 and "REFUSED" in done.output
        toml = tmp_path / "publisher.toml"
        toml.write_text(toml.read_text().replace("127.0.0.1:0", place))
        processes.start("publisher", "publisher", str(toml))
        processes.listens("publisher")
        done = said("publish", str(tmp_path / "two.json"), "--to", place)  # as if its answer had been lost
        assert done.exit_code == 0 and "position 1.2" in done.output
        trial.everywhere(place, lambda told: status_text.in_force_everywhere(told, (2, 2), 3))
        assert "in force at all 4 that are connected" in said("status", place).output
        assert json.loads(said("status", "--json", place).output)["position"] == [2, 2]
    finally:
        processes.close()
    assert all(process.returncode in (0, -9) for process in processes.all.values())
    assert "Traceback" not in "".join(path.read_text() for path in tmp_path.glob("*.log"))


@pytest.mark.parametrize(
    "words, status, said",
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
def test_errors_of_the_command_line(words, status, said):
    done = CliRunner().invoke(control, words)
    assert done.exit_code == status and said in done.output and "Traceback" not in done.output


def test_what_is_not_to_be_had_ends_a_publisher_with_its_error(tmp_path):
    (tmp_path / "db").write_bytes(b"not a database, and long enough not to be one" * 99)
    with socket.create_server(HERE) as taken:
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
