"""What gateways say to each other of contracts. Types only; packing is fleet/codec.py's. A contract is named by a
digest of its tenant and place in the book, a site by one of its name."""

from typing import Annotated

import msgspec

from oakfork.leases.messages import Message, Number, Small, Time

Key = Annotated[int, msgspec.Meta(ge=0, le=0xFFFFFFFF)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]  # thousandths of a leg a second
Few = Annotated[list[tuple[Small, Amount]], msgspec.Meta(max_length=16)]


class Dealt(Message, tag=20):
    """An act of the allotter upon a gateway: how much it may lend, and from whom to borrow how much."""

    gateway: Small
    life: Number  # of the gateway acted upon
    term: Number
    end: Time
    deals: Annotated[list[tuple[Key, Amount, Few]], msgspec.Meta(max_length=8)]


class Demand(Message, tag=21):
    """What a gateway was asked for lately, and what it may use."""

    gateway: Small
    asked: Annotated[list[tuple[Key, Amount, Amount]], msgspec.Meta(max_length=40)]


class Borrow(Message, tag=22):
    gateway: Small
    life: Number
    number: Number
    key: Key
    amount: Amount
    length: Time


class Lent(Message, tag=23):
    lender: Small
    life: Number
    number: Number
    key: Key
    amount: Amount
