"""Ids at the door: small indices for servers and RPCs, given out anew as RPCs end. No decision is taken here."""

from typing import Generic, Hashable, TypeVar

RpcId = TypeVar("RpcId", bound=Hashable)
ServerId = TypeVar("ServerId", bound=Hashable)


class Ticket(Generic[RpcId]):
    """An RPC at the door: its true id, and whether its index may be used again."""

    __slots__ = ("true_id", "out", "over")

    def __init__(self, true_id: RpcId) -> None:
        self.true_id = true_id
        self.out = 0  # call-outs whose end has not been told
        self.over = False  # it has its final answer


class Door(Generic[RpcId, ServerId]):
    def __init__(self) -> None:
        self.servers: dict[ServerId, int] = {}  # emptied by forget
        self.server_ids: list[ServerId | None] = []
        self.spare: list[int] = []  # indices of forgotten servers
        self.rpcs: dict[RpcId, int] = {}  # emptied as RPCs end
        self.tickets: list[Ticket[RpcId] | None] = []
        self.free: list[int] = []

    def server(self, true_id: ServerId) -> int:
        if true_id not in self.servers:
            if not self.spare:
                self.spare.append(len(self.server_ids))
                self.server_ids.append(None)
            index = self.servers[true_id] = self.spare.pop()
            self.server_ids[index] = true_id
        return self.servers[true_id]

    def forget(self, index: int) -> None:
        """The module knows nothing of that server any more: its index may be used for another."""
        del self.servers[self.server_ids[index]]
        self.server_ids[index] = None
        self.spare.append(index)

    def admit(self, true_id: RpcId) -> int:
        index = self.free.pop() if self.free else len(self.tickets)
        if index == len(self.tickets):
            self.tickets.append(None)
        self.tickets[index] = Ticket(true_id)
        self.rpcs[true_id] = index
        return index

    def settle(self, index: int) -> None:
        """Frees the index of an RPC that is answered and has no call-out open."""
        ticket = self.tickets[index]
        if ticket and ticket.over and not ticket.out:
            self.tickets[index] = None
            del self.rpcs[ticket.true_id]
            self.free.append(index)
