"""Zones of listed servers that the settings do not name: no two zones count as one."""

import math

import structlog
import trio
from fake_services import entry, read_test_configuration, settings

from oakfork.decision import DecisionModule
from oakfork.interface import ServerList, ServerState
from oakfork.sockets.decision_loop import DecisionLoop
from oakfork.sockets.zone_indices import MAX_UNNAMED_ZONES, ZoneIndices


def listed(tmp_path, monkeypatch, rows, zones=("a", "b")):
    """What the module gets of a list, by the server's id, and the log."""
    lists = []
    log = []

    def handle(module, now, event):
        if isinstance(event, ServerList):
            lists.append(event)
        return []

    def record(logger, name, event):
        log.append(event)
        raise structlog.DropEvent

    monkeypatch.setattr(DecisionModule, "handle", handle)
    known = {"version": 1, "full": True, "servers": rows}
    configuration = read_test_configuration(tmp_path, known=known, settings=settings() | {"zones": list(zones)})

    async def main():
        queue, inbox = trio.open_memory_channel(math.inf)
        async with trio.open_nursery() as nursery:
            logger = structlog.wrap_logger(None, processors=[record])
            DecisionLoop(configuration, inbox, queue, None, None, None, None, nursery, logger)

    trio.run(main)
    [first] = lists
    return {row["id"]: found for row, found in zip(rows, first.entries, strict=True)}, log


def test_servers_of_a_zone_that_the_settings_do_not_name_are_not_in_the_first_zone(tmp_path, monkeypatch):
    """Guards against a mark of a deduplicated RPC that runs in two zones."""
    zones = ("a", "b", "east", "west", "east")
    rows = [entry(number, f"10.0.0.{number}:80", zone=zone) for number, zone in enumerate(zones)]
    entries, log = listed(tmp_path, monkeypatch, rows)
    indices = [entries[row["id"]].zone for row in rows]
    assert indices[:2] == [0, 1] and indices[2] == indices[4] and len(set(indices)) == 4
    assert [(line["event"], line["zones"]) for line in log] == [("zones not named in the settings", ["east", "west"])]


def test_a_list_of_named_zones_logs_nothing(tmp_path, monkeypatch):
    """A row without a zone is in the first one, as before."""
    rows = [entry(0, "10.0.0.1:80", zone="b"), entry(1, "10.0.0.2:80") | {"zone": None}]
    entries, log = listed(tmp_path, monkeypatch, rows)
    assert [found.zone for found in entries.values()] == [1, 0] and not log


def test_servers_of_more_zones_than_there_is_room_for_get_nothing_new(tmp_path, monkeypatch):
    """Their states are followed, and their zones are counted in the log."""
    count = MAX_UNNAMED_ZONES + 2
    rows = [entry(number, f"10.0.{number >> 8}.{number & 255}:80", zone=f"z{number}") for number in range(count)]
    entries, log = listed(tmp_path, monkeypatch, rows)
    states = [found.state for found in entries.values()]
    assert states == [ServerState.READY] * MAX_UNNAMED_ZONES + [ServerState.DRAINING] * 2
    assert log[0]["count"] == count and len(log) == 1


def test_a_zone_keeps_its_index():
    """Also when further lists name others first."""
    zones = ZoneIndices({"a": 0})
    first = zones.index_of("x"), zones.index_of("y")
    assert first == (1, 2) == (zones.index_of("x"), zones.index_of("y"))
    assert zones.index_of("a") == 0 == zones.index_of(None)
