"""A gateway's part of a contract, in thousandths of a leg a second. Pure.

Without a word each gateway has a fixed even part, and all of these are the whole. More is only what another has
*lent*: who lends has less from the moment it says so, on its clock, for as long as the loan may last on any other;
who borrows counts from when it asked. So the parts that are used at any instant never sum to more than the contract,
whoever deals, and whatever is lost, late or doubled. A gateway that has started has forgotten what it lent, and uses
nothing for as long as a loan may last.
"""

from typing import NamedTuple

from oakfork.leases.durations import LeaseDurations

LENDABLE = 9, 10  # of its even part: a tenth stays for a demand that comes at once
MOST_LOANS = 64  # given or taken, a contract and gateway: those over are refused


class Loan(NamedTuple):
    other: int  # the gateway
    amount: int
    until: int  # on this gateway's clock


class Share(NamedTuple):
    even: int
    uses_from: int  # nothing before
    given: tuple[Loan, ...] = ()  # emptied as they end, at the next change
    taken: tuple[Loan, ...] = ()

    def now(self, now: int) -> int:
        """What may be used at this instant."""
        if now < self.uses_from:
            return 0
        return self.even - lent(self, now) + sum(loan.amount for loan in self.taken if now < loan.until)


def even_share(rate: float, gateway: int, gateways: int) -> int:
    """The fixed parts; they sum to the rate in thousandths, rounded down."""
    return even(int(rate * 1000), gateway, gateways)


def even(whole: int, gateway: int, gateways: int) -> int:
    """One of as many whole numbers as gateways, as alike as can be, that sum to the whole."""
    return whole // gateways + (gateway < whole % gateways)


def initial_share(even: int, now: int, durations: LeaseDurations) -> Share:
    return Share(even, now + durations.stretched(durations.longest))


def lent(part: Share, now: int) -> int:
    """For each borrower the largest loan that it may still count."""
    largest: dict[int, int] = {}
    for loan in part.given:
        if now < loan.until:
            largest[loan.other] = max(largest.get(loan.other, 0), loan.amount)
    return sum(largest.values())


def lends(part: Share, now: int, borrower: int, amount: int, may: int, durations: LeaseDurations) -> tuple[Share, int]:
    """Lends as much of the amount as it can spare; `may` is what the deal lets it lend in all. 0 is a refusal."""
    given = tuple(loan for loan in part.given if now < loan.until)
    others = lent(part._replace(given=tuple(loan for loan in given if loan.other != borrower)), now)
    most = min(may, part.even * LENDABLE[0] // LENDABLE[1]) - others
    amount = min(amount, most)
    if amount <= 0 or now < part.uses_from or len(given) >= MOST_LOANS:
        return part._replace(given=given), 0
    until = now + durations.stretched(durations.lease)
    # Of this borrower's loans, those that are neither larger nor longer than another say nothing more.
    kept = tuple(loan for loan in given if loan.other != borrower or loan.amount > amount or loan.until > until)
    return part._replace(given=(*kept, Loan(borrower, amount, until))), amount


def borrowed(part: Share, now: int, lender: int, amount: int, asked_at: int, durations: LeaseDurations) -> Share:
    """What a lender has lent, counted from when it was asked; it takes the place of the loan before it."""
    until = asked_at + durations.lease
    taken = tuple(loan for loan in part.taken if now < loan.until and loan.other != lender)
    before = max((loan.until for loan in part.taken if loan.other == lender), default=0)
    if amount <= 0 or until <= max(now, before) or len(taken) >= MOST_LOANS:
        return part
    return part._replace(taken=(*taken, Loan(lender, amount, until)))
