"""Names of the stored measures that the tables of the capacity page use, or of what they measure."""

RPC_AT_OWNER = "rpc at its owner"
RPC_THAT_ASKS = "rpc that asks"
ASK_SERVED = "ask served"
LIST_CHANGE = "change of one server"
WHOLE_LIST = "whole list"
MEMORY_BY_SERVERS = "process by servers: bytes of memory"
MEMORY_BY_GATEWAYS = "process by gateways: bytes of memory"
MEMORY_BY_CUSTOMERS = "memory of the module by customers: bytes"
START_WITHOUT_REPLIES = "start by gateways, none replies"
START_WITH_REPLIES = "start by gateways, all reply"
AT_REST = "rest by gateways"
ASKS_BY_RATE = "asks by rate"
CHANGE_BYTES = "changes by servers changed: bytes"
WITH_HEADERS = ", with headers"  # of IPv4 and UDP
LIST_BYTES = "whole list by servers: bytes"
SECONDS_TO_READY = "process by servers: seconds to ready"
PROCESSOR_TO_READY = "process by servers: processor seconds to ready"
VOTER_FRAMES = "leases by gateways: frames a second of all voters"
WATCHER_FRAMES = "leases by gateways: frames a second of a watcher"
VOTER_BYTES_SENT = "leases by gateways: bytes a second sent by a voter"
VOTER_BYTES_RECEIVED = "leases by gateways: bytes a second received by a voter"
VOTER_PROCESSOR = "leases by gateways: processor seconds of a voter a second"
VOTER_STATE_BYTES = "leases by gateways: bytes of state of all voters"


def seconds(what: str, by: str) -> str:
    """The name of a measure of the decision module's processor time."""
    return f"{what} by {by}: seconds"


def in_bytes(what: str) -> str:
    """The name of a measure of the bytes of a start, with headers."""
    return f"{what}: bytes{WITH_HEADERS}"


def bytes_a_second(what: str, way: str = "") -> str:
    """The name of a measure of bytes a second, with headers: at rest, or of asks (" sent" or " received")."""
    return f"{what}: bytes a second{way}{WITH_HEADERS}"
