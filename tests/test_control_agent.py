"""What a gateway does with the servers of its configuration once the control part's first state is there."""

import pytest
import structlog
import trio
import trio.testing

from oakfork.control import records
from oakfork.control.agent import SLICE, Agent
from oakfork.control.events import InForce
from oakfork.control.messages import EMPTY, Kind, Position
from oakfork.control.state import updated_sums

pytestmark = pytest.mark.trio
KNOWN = ("s-1", "s-2")


def server(service="search", **changes):
    """The record of a server."""
    fields = {
        "addr": "10.0.0.1:80",
        "zone": "a",
        "kind": "m",
        "cell": 1,
        "state": records.State.UP,
        "weight": 1.0,
        "started_ms": 0,
        "service": service,
    }
    return records.Server(**(fields | changes))


class Gateway:
    """A gateway's agent, what was handed over last of each server, and the states that come into force."""

    def __init__(self, nursery, known=KNOWN, service="search"):
        self.rows = {}  # the last row, by the server's id
        self.slices = []
        self.agent = Agent("g", ["127.0.0.1:1"], 1, structlog.get_logger(), self._hand_over, service, known)
        self.position = EMPTY
        nursery.start_soon(self.agent._hand_over_changes)

    def _hand_over(self, rows):
        self.slices.append(len(rows))
        self.rows |= {row["id"]: row for row in rows}

    async def put(self, **servers):
        """Puts servers in force, by their ids with `_` for `-`; None removes one."""
        changes = {
            (Kind.SERVER, name.replace("_", "-")): None if server is None else records.pack(server)
            for name, server in servers.items()
        }
        store = self.agent.store
        store.commit(changes, updated_sums(store, changes))
        before, self.position = self.position, Position(1, self.position.number + 1)
        self.agent._in_force(InForce(before, self.position, changes))
        await trio.testing.wait_all_tasks_blocked()

    def states(self):
        """What the gateway was told last of each server."""
        return {name: row["state"] for name, row in self.rows.items()}


async def test_a_configured_server_that_belongs_to_another_service_by_now_is_removed(nursery):
    """Guards against a restarted gateway that goes on sending to a server which moved while it was away."""
    gateway = Gateway(nursery)
    await gateway.put(s_1=server("billing"), s_2=server(), s_3=server("billing"))
    assert gateway.states() == {"s-1": "removed", "s-2": "up"}


async def test_the_gateways_own_service_may_have_changed(nursery):
    """All servers of its configuration are those of the service before."""
    gateway = Gateway(nursery, service="billing")
    await gateway.put(s_1=server(), s_2=server(), s_3=server("billing"))
    assert gateway.states() == {"s-1": "removed", "s-2": "removed", "s-3": "up"}


async def test_a_configured_server_is_handled_by_its_record(nursery):
    """Zone, weight and state are those of the first state, whatever the configuration said."""
    gateway = Gateway(nursery)
    await gateway.put(s_1=server(zone="b", weight=2.5), s_2=server(state=records.State.DRAINING))
    assert gateway.rows["s-1"]["zone"] == "b" and gateway.rows["s-1"]["weight"] == 2.5
    assert gateway.states() == {"s-1": "up", "s-2": "draining"}


async def test_a_server_that_moves_away_is_drained_there_and_moves_back(nursery):
    """What happens to it at the other service is not this gateway's concern; its return is."""
    gateway = Gateway(nursery)
    await gateway.put(s_1=server("billing"), s_2=server())
    told = len(gateway.slices)
    await gateway.put(s_1=server("billing", state=records.State.DRAINING))
    assert len(gateway.slices) == told
    await gateway.put(s_1=server(state=records.State.DRAINING))
    await gateway.put(s_1=server())
    assert gateway.states() == {"s-1": "up", "s-2": "up"}
    await gateway.put(s_1=server("billing"))
    assert gateway.states() == {"s-1": "removed", "s-2": "up"}


async def test_what_the_first_state_does_not_have_is_gone_and_later_states_remove_nothing_else(nursery):
    """A server that is named twice counts once; many are handed over in slices."""
    known = [f"k-{number}" for number in range(3 * SLICE)] + ["s-1", "s-1"]
    gateway = Gateway(nursery, known=known)
    await gateway.put(s_1=server())
    assert gateway.states() == {"s-1": "up"} | {name: "removed" for name in known if name != "s-1"}
    assert max(gateway.slices) <= SLICE
    told = len(gateway.slices)
    await gateway.put(s_9=server())
    assert len(gateway.slices) == told + 1 and gateway.rows["s-9"]["state"] == "up"


async def test_without_a_service_all_servers_of_the_state_are_used(nursery):
    """Only what the state does not have is removed."""
    gateway = Gateway(nursery, service=None)
    await gateway.put(s_1=server("billing"), s_3=server())
    assert gateway.states() == {"s-1": "up", "s-2": "removed", "s-3": "up"}
