"""Deals a contract's parts by recent demand. Pure. What is dealt is advice on who lends to whom: that the parts
never sum to more than the contract does not rest on it (`shares`)."""

from typing import Mapping, NamedTuple, Sequence

from oakfork.contracts.shares import LENDABLE

HEADROOM = 5, 4  # a gateway gets a quarter more than it was asked for lately
MOST_LENDERS = 16  # of one borrower, for its messages are bounded
LEAST = 100  # thousandths of a leg a second: a smaller loan is not worth its messages


class Allocation(NamedTuple):
    """What one gateway is told of one contract."""

    lends: int  # in all, at most
    borrows: tuple[tuple[int, int], ...]  # (lender, amount)


def target_shares(even: Sequence[int], demand: Mapping[int, int]) -> list[int]:
    """The part of each gateway; they sum to what the even parts sum to, or a few thousandths less. Who was not
    heard keeps its even part."""
    floor = [part - part * LENDABLE[0] // LENDABLE[1] for part in even]
    want = [max(low, demand[i] * HEADROOM[0] // HEADROOM[1]) if i in demand else even[i] for i, low in enumerate(floor)]
    whole, wanted = sum(even), sum(want)
    if wanted <= whole:
        spare = (whole - wanted) // len(even)
        return [part + spare for part in want]
    fixed = [even[i] if i not in demand else floor[i] for i in range(len(even))]
    room, over = whole - sum(fixed), sum(w - f for w, f in zip(want, fixed, strict=True))
    return [f + (w - f) * room // over for w, f in zip(want, fixed, strict=True)]


def allocate(even: Sequence[int], demand: Mapping[int, int]) -> list[Allocation]:
    """Who lends to whom: the largest need first, from the largest surplus."""
    aims = target_shares(even, demand)
    spare = {i: even[i] - aim for i, aim in enumerate(aims) if even[i] - aim >= LEAST and i in demand}
    needs = sorted(((aim - even[i], i) for i, aim in enumerate(aims) if aim - even[i] >= LEAST), reverse=True)
    lends, borrows = dict.fromkeys(range(len(even)), 0), {i: [] for i in range(len(even))}
    lenders = sorted(spare, key=lambda i: (-spare[i], i))
    for need, borrower in needs:
        while need >= LEAST and lenders and len(borrows[borrower]) < MOST_LENDERS:
            lender = lenders[0]
            amount = min(need, spare[lender])
            borrows[borrower].append((lender, amount))
            lends[lender], spare[lender], need = lends[lender] + amount, spare[lender] - amount, need - amount
            if spare[lender] < LEAST:
                lenders.pop(0)
    return [Allocation(lends[i], tuple(borrows[i])) for i in range(len(even))]
