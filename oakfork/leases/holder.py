"""A contender for one task, which is the holder while it has the lease.

Pure: state and time go in, new state and messages come out.

A lease counts from the start of the round that a majority granted. Whoever acts checks its clock first
(`Contender.holds`), and gives the act an end (`fence`) that the resource checks on its own clock: between the check and
the act a process may have been stopped for any time.
"""

from typing import NamedTuple

from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, Grant, Refusal, Release, VoteFreed

NEVER = 1 << 62  # a time that does not come, in tenths of a millisecond
MAX_BACKOFF_DOUBLINGS = 8


class Contender(NamedTuple):
    """A contender's state for one task. Times are on its own clock."""

    gateway: int
    life: int  # a random number drawn when the gateway starts
    voters: tuple[int, ...]  # gateways' numbers
    highest_term: int = 0  # that is known
    term: int = 0  # asked for or held
    round: int = 0  # of asking; grows
    round_open: bool = False  # a round has been sent to the voters
    round_started: int = 0
    grants: frozenset[int] = frozenset()  # voters that granted this round
    refusals: frozenset[int] = frozenset()  # voters that refused it
    shortest_wait: int = 0  # that refusals of this round name
    lease_end: int = 0  # 0: no lease
    last_act_end: int = 0  # by which all acts so far have ended
    wake: int = 0  # when `on_timer` is due
    failed_rounds: int = 0  # in a row, without a majority
    leaving: bool = False

    def holds(self, now: int) -> bool:
        """Whether it may act now; to be checked again before each act."""
        return now < self.lease_end and not self.leaving

    @property
    def majority(self) -> int:
        """The least number of voters that is more than half of them."""
        return len(self.voters) // 2 + 1


OutgoingMessages = tuple[Ask | Release, ...]  # to all voters


def on_timer(
    contender: Contender, now: int, durations: LeaseDurations, task: int, jitter: float
) -> tuple[Contender, OutgoingMessages]:
    """Starts a round, renews the lease, gives up a round or leaves, if that is due.

    `jitter` is drawn from 0 to 1, below 1.
    """
    if now < contender.wake:
        return contender, ()
    if contender.leaving:  # its last act has ended
        left = contender._replace(lease_end=0, round=contender.round + 1, wake=NEVER)
        return left, _release(contender, task)
    lease_expired = contender.lease_end != 0 and now >= contender.lease_end
    round_timed_out = contender.round_open and not contender.lease_end
    if lease_expired or round_timed_out:
        # After a lease that expired, the next one has a term of its own.
        return _give_up(contender._replace(lease_end=0), now, durations, task, jitter, 0)
    return _start_round(contender, now, durations, task)


def _start_round(
    contender: Contender, now: int, durations: LeaseDurations, task: int
) -> tuple[Contender, OutgoingMessages]:
    """Asks all voters to extend the lease in the current term, or for their votes in a new one."""
    term = contender.term
    if not contender.lease_end:
        term = max(contender.highest_term, contender.term) + 1
    contender = contender._replace(
        highest_term=max(contender.highest_term, term),
        term=term,
        round=contender.round + 1,
        round_open=True,
        round_started=now,
        grants=frozenset(),
        refusals=frozenset(),
        shortest_wait=NEVER,
        wake=now + durations.round_timeout,
    )
    return contender, (Ask(task, contender.gateway, contender.life, term, contender.round, durations.lease),)


def on_grant(contender: Contender, now: int, grant: Grant, durations: LeaseDurations) -> Contender:
    """Counts a vote; a majority in one round gives the lease, counted from the start of that round."""
    of_this_round = (grant.life, grant.term, grant.round) == (contender.life, contender.term, contender.round)
    if not of_this_round or grant.voter not in contender.voters:
        return contender  # a vote of another life or round may have been released since: it must not count
    contender = contender._replace(grants=contender.grants | {grant.voter})
    lease_end = contender.round_started + durations.lease
    if len(contender.grants) >= contender.majority and lease_end > now and not contender.leaving:
        wake = min(lease_end, max(now + 1, contender.round_started + durations.renewal_interval))
        contender = contender._replace(lease_end=max(contender.lease_end, lease_end), wake=wake, failed_rounds=0)
    return contender


def on_refusal(
    contender: Contender, now: int, refusal: Refusal, durations: LeaseDurations, task: int, jitter: float
) -> tuple[Contender, OutgoingMessages]:
    """Learns the voter's highest term, and gives the round up once too few voters are left for a majority."""
    if refusal.life != contender.life or refusal.voter not in contender.voters:
        return contender, ()
    contender = contender._replace(highest_term=max(contender.highest_term, refusal.highest_term))
    if refusal.round != contender.round or contender.lease_end or contender.leaving:
        return contender, ()
    contender = contender._replace(
        refusals=contender.refusals | {refusal.voter}, shortest_wait=min(contender.shortest_wait, refusal.wait)
    )
    if len(contender.voters) - len(contender.refusals) >= contender.majority:
        return contender, ()
    return _give_up(contender, now, durations, task, jitter, contender.shortest_wait)


def on_free(contender: Contender, now: int, hint: VoteFreed) -> Contender:
    """Takes a hint that a vote is free: the next round starts at once, also in place of one that is open.

    Guards against a hint that overtakes what frees the other votes: the round that it starts is refused there, and
    their hints come while it is open. A voter that has granted the open round has nothing to add to it.
    """
    if contender.lease_end or contender.leaving or hint.voter in contender.grants:
        return contender
    return contender._replace(round_open=False, wake=min(contender.wake, now))


def on_leave(contender: Contender, now: int, durations: LeaseDurations) -> Contender:
    """Stops acting at once; the votes are released when the last act has certainly ended."""
    return contender._replace(leaving=True, wake=max(now, contender.last_act_end))


def begin_act(contender: Contender, now: int, durations: LeaseDurations) -> tuple[Contender, int]:
    """The end of an act that begins now, on this clock; 0 if the contender may not act."""
    if not contender.holds(now):
        return contender, 0
    end = min(contender.lease_end, now + durations.act)
    return contender._replace(last_act_end=max(contender.last_act_end, end)), end


def _give_up(
    contender: Contender, now: int, durations: LeaseDurations, task: int, jitter: float, wait: int
) -> tuple[Contender, OutgoingMessages]:
    """Releases votes that were no majority, and backs off.

    The next round starts after the wait that a voter named, and a random time up to a limit that doubles from the
    round timeout to the length of the lease, so that contenders don't keep splitting the votes.
    """
    doublings = min(contender.failed_rounds, MAX_BACKOFF_DOUBLINGS)
    backoff = min(durations.lease, durations.round_timeout << doublings)
    given_up = contender._replace(
        round=contender.round + 1,
        round_open=False,
        grants=frozenset(),
        refusals=frozenset(),
        failed_rounds=contender.failed_rounds + 1,
        wake=now + wait + 1 + int(jitter * backoff),
    )
    return given_up, _release(contender, task)


def _release(contender: Contender, task: int) -> OutgoingMessages:
    """Gives back the votes for the current term, if there is one."""
    if not contender.term:
        return ()
    return (Release(task, contender.gateway, contender.life, contender.term),)
