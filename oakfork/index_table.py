"""Maps the ids of RPCs and servers to the small indices that the decision module works with. No decision is taken here.

Indices are used again: that of an RPC once it is answered and has no open call-out, that of a server once the module
has forgotten it. So the tables stay as small as what is in use.
"""

from typing import Generic, Hashable, TypeVar

RpcId = TypeVar("RpcId", bound=Hashable)
ServerId = TypeVar("ServerId", bound=Hashable)


class RpcEntry(Generic[RpcId]):
    """An RPC in the table: its id outside the module, and whether its index may be used again."""

    __slots__ = ("external_id", "open_call_outs", "answered")

    def __init__(self, external_id: RpcId) -> None:
        self.external_id = external_id
        self.open_call_outs = 0  # call-outs whose end the module has not been given
        self.answered = False  # it has its final answer


class IndexTable(Generic[RpcId, ServerId]):
    """The indices of one gateway's RPCs and servers, in both directions."""

    def __init__(self) -> None:
        self.servers: dict[ServerId, int] = {}  # removed from by forget_server
        self.server_ids: list[ServerId | None] = []
        self.free_server_indices: list[int] = []  # indices of forgotten servers
        self.rpcs: dict[RpcId, int] = {}  # removed from by release_rpc
        self.rpc_entries: list[RpcEntry[RpcId] | None] = []
        self.free_rpc_indices: list[int] = []

    def server_index(self, external_id: ServerId) -> int:
        """The index of a server; it gets one if it has none."""
        if external_id not in self.servers:
            if not self.free_server_indices:
                self.free_server_indices.append(len(self.server_ids))
                self.server_ids.append(None)
            index = self.free_server_indices.pop()
            self.servers[external_id] = index
            self.server_ids[index] = external_id
        return self.servers[external_id]

    def forget_server(self, index: int) -> None:
        """Frees the index of a server of which the module has no state any more; KeyError if it is free already."""
        del self.servers[self.server_ids[index]]
        self.server_ids[index] = None
        self.free_server_indices.append(index)

    def add_rpc(self, external_id: RpcId) -> int:
        """Gives an RPC an index."""
        index = self.free_rpc_indices.pop() if self.free_rpc_indices else len(self.rpc_entries)
        if index == len(self.rpc_entries):
            self.rpc_entries.append(None)
        self.rpc_entries[index] = RpcEntry(external_id)
        self.rpcs[external_id] = index
        return index

    def release_rpc(self, index: int) -> None:
        """Frees the index of an RPC if it is answered and has no open call-out."""
        rpc_entry = self.rpc_entries[index]
        if rpc_entry and rpc_entry.answered and not rpc_entry.open_call_outs:
            self.rpc_entries[index] = None
            del self.rpcs[rpc_entry.external_id]
            self.free_rpc_indices.append(index)
