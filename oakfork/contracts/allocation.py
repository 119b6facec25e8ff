"""Allocates the shares of a contract or site by recent demand. Pure.

An allocation is advice on who lends to whom. That the shares never sum to more than the whole does not rest on it
(`shares`). All amounts are thousandths of a leg a second.
"""

from typing import Mapping, NamedTuple, Sequence

from oakfork.contracts.shares import LENDABLE_TENTHS

# A gateway's target is a quarter above its recent demand.
HEADROOM_NUMERATOR = 5
HEADROOM_DENOMINATOR = 4
MAX_LENDERS = 16  # for one borrower, because a message has no room for more
MIN_LOAN = 100  # thousandths of a leg a second; a smaller loan is not worth its messages


class Allocation(NamedTuple):
    """What one gateway may lend and should borrow of one contract or site."""

    lends: int  # at most, to all borrowers together
    borrows: tuple[tuple[int, int], ...]  # (lender, amount)


def target_shares(even: Sequence[int], demand: Mapping[int, int]) -> list[int]:
    """The share that each gateway should have, by its number.

    `even` has the even shares, `demand` the recent demand of the gateways that reported one; the others keep their even
    share. The targets sum to what the even shares sum to, or a few thousandths less.
    """
    minimum = [share - share * LENDABLE_TENTHS // 10 for share in even]
    wanted = [
        max(low, demand[gateway] * HEADROOM_NUMERATOR // HEADROOM_DENOMINATOR) if gateway in demand else even[gateway]
        for gateway, low in enumerate(minimum)
    ]
    total = sum(even)
    if sum(wanted) <= total:
        spare = (total - sum(wanted)) // len(even)
        return [share + spare for share in wanted]
    # Too much is wanted: everybody gets the minimum, and a part of what is wanted beyond it.
    guaranteed = [minimum[gateway] if gateway in demand else even[gateway] for gateway in range(len(even))]
    beyond = [want - least for want, least in zip(wanted, guaranteed, strict=True)]
    available = total - sum(guaranteed)
    total_beyond = sum(beyond)
    return [least + more * available // total_beyond for least, more in zip(guaranteed, beyond, strict=True)]


def allocate(even: Sequence[int], demand: Mapping[int, int]) -> list[Allocation]:
    """Who lends to whom, by the gateway's number: the largest need is met first, from the largest surplus.

    `even` and `demand` are as for `target_shares`. Only gateways that reported their demand lend.
    """
    targets = target_shares(even, demand)
    surplus = {
        gateway: even[gateway] - target
        for gateway, target in enumerate(targets)
        if even[gateway] - target >= MIN_LOAN and gateway in demand
    }
    needs = sorted(
        (
            (target - even[gateway], gateway)
            for gateway, target in enumerate(targets)
            if target - even[gateway] >= MIN_LOAN
        ),
        reverse=True,
    )
    lends = [0] * len(even)
    borrows: list[list[tuple[int, int]]] = [[] for _ in even]
    lenders = sorted(surplus, key=lambda gateway: (-surplus[gateway], gateway))
    for need, borrower in needs:
        while need >= MIN_LOAN and lenders and len(borrows[borrower]) < MAX_LENDERS:
            lender = lenders[0]
            amount = min(need, surplus[lender])
            borrows[borrower].append((lender, amount))
            lends[lender] += amount
            surplus[lender] -= amount
            need -= amount
            if surplus[lender] < MIN_LOAN:
                lenders.pop(0)
    return [Allocation(lends[gateway], tuple(borrows[gateway])) for gateway in range(len(even))]
