"""A gateway's share of a contract or of a site, in thousandths of a leg a second. Pure.

Without any message each gateway has a fixed even share, and the even shares sum to the whole. A gateway has more only
by what another has lent: the lender has less from the moment it grants the loan, on its clock, for as long as the loan
may last on any other clock; the borrower counts the loan from when it asked. So the shares that are used at any instant
never sum to more than the whole, whatever is allocated, and whichever messages are lost, late or repeated. A gateway
that restarts has forgotten what it lent, and uses nothing for as long as a loan may last.
"""

from typing import NamedTuple

from oakfork.leases.durations import LeaseDurations

LENDABLE_TENTHS = 9  # tenths of the even share; the rest stays for a demand that comes at once
MAX_LOANS = 64  # given, or taken, for each share; further ones are refused


class Loan(NamedTuple):
    """A loan that this gateway has given or taken."""

    other: int  # the other gateway's number
    amount: int
    until: int  # on this gateway's clock


class Share(NamedTuple):
    """One gateway's share, with its loans. Times are on this gateway's clock."""

    even: int
    usable_from: int
    given: tuple[Loan, ...] = ()  # loans that have ended are dropped at the next change
    taken: tuple[Loan, ...] = ()

    def now(self, now: int) -> int:
        """What the gateway may use at this instant."""
        if now < self.usable_from:
            return 0
        return self.even - lent(self, now) + sum(loan.amount for loan in self.taken if now < loan.until)


def even_share(rate: float, gateway: int, gateways: int) -> int:
    """A gateway's fixed share of a rate in legs a second; the shares sum to the rate, rounded down to thousandths."""
    return even_split(int(rate * 1000), gateway, gateways)


def even_split(total: int, gateway: int, gateways: int) -> int:
    """A gateway's part of a total that is split into whole numbers, none of which differ by more than one."""
    return total // gateways + (gateway < total % gateways)


def initial_share(even: int, now: int, durations: LeaseDurations) -> Share:
    """The share of a gateway that has just started: unusable while a loan it gave before may last."""
    return Share(even, now + durations.upper_bound(durations.longest))


def lent(share: Share, now: int) -> int:
    """What is lent at this instant: the sum, over borrowers, of the largest loan that each may still count."""
    largest: dict[int, int] = {}
    for loan in share.given:
        if now < loan.until:
            largest[loan.other] = max(largest.get(loan.other, 0), loan.amount)
    return sum(largest.values())


def lends(
    share: Share, now: int, borrower: int, amount: int, allowed: int, durations: LeaseDurations
) -> tuple[Share, int]:
    """Lends as much of the amount as it can spare, and returns how much; 0 is a refusal.

    `allowed` is what the allocation lets this gateway lend to all borrowers together.
    """
    given = tuple(loan for loan in share.given if now < loan.until)
    to_others = lent(share._replace(given=tuple(loan for loan in given if loan.other != borrower)), now)
    lendable = min(allowed, share.even * LENDABLE_TENTHS // 10) - to_others
    amount = min(amount, lendable)
    if amount <= 0 or now < share.usable_from or len(given) >= MAX_LOANS:
        return share._replace(given=given), 0
    until = now + durations.upper_bound(durations.lease)
    # A loan to this borrower that is neither larger nor longer than the new one no longer limits the share.
    kept = tuple(loan for loan in given if loan.other != borrower or loan.amount > amount or loan.until > until)
    return share._replace(given=(*kept, Loan(borrower, amount, until))), amount


def borrowed(share: Share, now: int, lender: int, amount: int, asked_at: int, durations: LeaseDurations) -> Share:
    """Adds a loan, which counts from when it was asked for and replaces the earlier one of the same lender."""
    until = asked_at + durations.lease
    taken = tuple(loan for loan in share.taken if now < loan.until and loan.other != lender)
    earlier_until = max((loan.until for loan in share.taken if loan.other == lender), default=0)
    if amount <= 0 or until <= max(now, earlier_until) or len(taken) >= MAX_LOANS:
        return share
    return share._replace(taken=(*taken, Loan(lender, amount, until)))
