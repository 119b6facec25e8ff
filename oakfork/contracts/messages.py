"""Messages between gateways on contracts; `fleet.codec` packs them.

Messages are packed as arrays: the order, types and tags of their fields are the wire format. A contract is named by a
checksum of its tenant and its position in the contracts file, a site by a checksum of its name.
"""

from typing import Annotated

import msgspec

from oakfork.contracts.allocation import MAX_LENDERS
from oakfork.leases.messages import Message, Time, UInt16, UInt63

MAX_ALLOCATIONS = 8  # in one message
MAX_DEMANDS = 40  # in one message
MAX_AMOUNT = 1_000_000_000  # thousandths of a leg a second

Key = Annotated[int, msgspec.Meta(ge=0, le=0xFFFFFFFF)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Borrows = Annotated[list[tuple[UInt16, Amount]], msgspec.Meta(max_length=MAX_LENDERS)]  # (lender, amount)


class AllocationUpdate(Message, tag=20):
    """An order of the "allot" lease's holder to a gateway: how much it may lend, and how much to borrow from whom."""

    gateway: UInt16
    life: UInt63  # of the gateway acted upon
    term: UInt63
    end: Time
    allocations: Annotated[  # (contract or site, how much to lend at most, loans to ask for)
        list[tuple[Key, Amount, Borrows]], msgspec.Meta(max_length=MAX_ALLOCATIONS)
    ]


class DemandReport(Message, tag=21):
    """A gateway's recent demand, and what it may use."""

    gateway: UInt16
    demands: Annotated[  # (contract or site, demand, what the gateway may use now)
        list[tuple[Key, Amount, Amount]], msgspec.Meta(max_length=MAX_DEMANDS)
    ]


class LoanRequest(Message, tag=22):
    """A gateway asks another for a loan."""

    gateway: UInt16
    life: UInt63  # of the borrower
    number: UInt63  # of the request
    key: Key
    amount: Amount
    length: Time


class LoanGrant(Message, tag=23):
    """A gateway lends what it was asked for, or less."""

    lender: UInt16
    life: UInt63  # of the borrower
    number: UInt63  # of the request
    key: Key
    amount: Amount
