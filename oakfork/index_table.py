"""Ids at the door: small indices for servers and RPCs, given out anew as RPCs end. No decision is taken here."""

from typing import Generic, Hashable, TypeVar

RpcId = TypeVar("RpcId", bound=Hashable)
ServerId = TypeVar("ServerId", bound=Hashable)


class RpcEntry(Generic[RpcId]):
    """An RPC at the door: its true id, and whether its index may be used again."""

    __slots__ = ("external_id", "open_call_outs", "answered")

    def __init__(self, external_id: RpcId) -> None:
        self.external_id = external_id
        self.open_call_outs = 0  # call-outs whose end has not been told
        self.answered = False  # it has its final answer


class IndexTable(Generic[RpcId, ServerId]):
    def __init__(self) -> None:
        self.servers: dict[ServerId, int] = {}  # emptied by forget
        self.server_ids: list[ServerId | None] = []
        self.free_server_indices: list[int] = []  # indices of forgotten servers
        self.rpcs: dict[RpcId, int] = {}  # emptied as RPCs end
        self.rpc_entries: list[RpcEntry[RpcId] | None] = []
        self.free_rpc_indices: list[int] = []

    def server_index(self, external_id: ServerId) -> int:
        if external_id not in self.servers:
            if not self.free_server_indices:
                self.free_server_indices.append(len(self.server_ids))
                self.server_ids.append(None)
            index = self.servers[external_id] = self.free_server_indices.pop()
            self.server_ids[index] = external_id
        return self.servers[external_id]

    def forget_server(self, index: int) -> None:
        """The module knows nothing of that server any more: its index may be used for another."""
        del self.servers[self.server_ids[index]]
        self.server_ids[index] = None
        self.free_server_indices.append(index)

    def add_rpc(self, external_id: RpcId) -> int:
        index = self.free_rpc_indices.pop() if self.free_rpc_indices else len(self.rpc_entries)
        if index == len(self.rpc_entries):
            self.rpc_entries.append(None)
        self.rpc_entries[index] = RpcEntry(external_id)
        self.rpcs[external_id] = index
        return index

    def release_rpc(self, index: int) -> None:
        """Frees the index of an RPC that is answered and has no call-out open."""
        rpc_entry = self.rpc_entries[index]
        if rpc_entry and rpc_entry.answered and not rpc_entry.open_call_outs:
            self.rpc_entries[index] = None
            del self.rpcs[rpc_entry.external_id]
            self.free_rpc_indices.append(index)
