"""What a publisher knows of the grant of its term by a majority of voters. Pure functions of an immutable state.

First a majority grants the term: from then on they record nothing of an older one, and what they have recorded names
all that any publisher ever acknowledged. The publisher goes on only if its database has that. Then each position that
it puts in force is recorded by a majority first, beginning with the one that it starts from. docs/control.md has the
argument.
"""

from typing import NamedTuple

from oakfork.control.messages import EMPTY, GrantRequest, Position, RecordRequest, VoterReport
from oakfork.control.quorum import majority, possibly_recorded, surely_recorded


class VoterView(NamedTuple):
    """What the publisher knows of one voter, by its reports."""

    incarnation: int = 0  # 0: no report yet
    has_granted: bool = False
    found: Position = EMPTY  # what it had recorded of other terms when it granted this one
    recorded: Position = EMPTY
    refused_for: int = 0  # the later term that it has granted
    round: int = 0  # the last one in which it still granted the term
    memory_lost_in: int = 0  # the round that began when it was seen to have no memory; 0: it has one


class Grant(NamedTuple):
    """The publisher's term and mark, and its view of each voter, in the order of its file."""

    term: int
    mark: int
    by_operator: bool
    views: tuple[VoterView, ...]
    wanted: Position = EMPTY  # to be recorded; EMPTY while the term is not granted by a majority
    round: int = 1  # a new one begins whenever a voter grants the term, or is seen to have lost its memory


def new_grant(term: int, mark: int, by_operator: bool, voters: int) -> Grant:
    """The grant of a term that no voter was asked for yet."""
    return Grant(term, mark, by_operator, (VoterView(),) * voters)


def granted_by(grant: Grant) -> dict[int, VoterView]:
    """The voters that granted the term, by their incarnation: a relay that is named twice counts once."""
    return {view.incarnation: view for view in grant.views if view.has_granted}


def is_granted(grant: Grant) -> bool:
    """Whether a majority has granted the term."""
    return len(granted_by(grant)) >= majority(len(grant.views))


def is_recorded(grant: Grant, position: Position) -> bool:
    """Whether a majority has recorded a position of this term, or a later one."""
    count = sum(view.recorded >= position for view in granted_by(grant).values())
    return position.term == grant.term and count >= majority(len(grant.views))


def is_lost(grant: Grant) -> bool:
    """Whether so many voters have granted a later term that no majority is left."""
    refusals = sum(view.refused_for > 0 for view in grant.views)
    return len(grant.views) - refusals < majority(len(grant.views))


def later_term(grant: Grant) -> int:
    """The highest later term that a voter has granted; 0 if none has."""
    return max(view.refused_for for view in grant.views)


def surely_found(grant: Grant) -> Position:
    """The latest position of another term that a majority had recorded, by the voters that granted this one."""
    return surely_recorded((view.found for view in granted_by(grant).values()), len(grant.views))


def possibly_found(grant: Grant) -> Position | None:
    """The latest position of another term that a majority may have recorded; None: any, too few have granted yet.

    Those that granted this term without a position don't record it any more. That counts once all of them have granted
    and each has been seen to grant it still: one that lost its file in between is bound to nothing.
    """
    found = (view.found for view in granted_by(grant).values() if view.round >= grant.round)
    return possibly_recorded(found, len(grant.views))


def want(grant: Grant, position: Position) -> Grant:
    """Has a position of this term recorded from now on."""
    return grant._replace(wanted=position)


def is_confirmed(grant: Grant, round: int) -> bool:
    """Whether a majority still granted the term in a round or a later one."""
    count = sum(view.round >= round for view in granted_by(grant).values())
    return count >= majority(len(grant.views))


def request(grant: Grant, voter: int) -> GrantRequest | RecordRequest:
    """What to ask of a voter now."""
    view = grant.views[voter]
    is_recording = grant.wanted != EMPTY
    readmits = is_recording and view.memory_lost_in > 0 and is_confirmed(grant, view.memory_lost_in)
    if is_recording and (view.has_granted or readmits):
        return RecordRequest(grant.term, grant.mark, view.incarnation, grant.wanted, grant.round, readmits)
    return GrantRequest(grant.term, grant.mark, view.incarnation, grant.round, grant.by_operator and not is_recording)


def on_report(grant: Grant, voter: int, report: VoterReport) -> Grant:
    """Takes a voter's report into account. Reports of a file that was lost since have no effect."""
    view = grant.views[voter]
    if report.incarnation < view.incarnation:
        return grant
    if report.incarnation > view.incarnation:
        view = VoterView(report.incarnation)
    if (report.term, report.mark) == (grant.term, grant.mark):
        if report.recorded.term != grant.term:
            view = view._replace(found=max(view.found, report.recorded))
        if not view.has_granted:
            grant = grant._replace(round=grant.round + 1)
        view = view._replace(
            has_granted=True,
            recorded=max(view.recorded, report.recorded),
            round=max(view.round, report.round),
            memory_lost_in=0,
        )
    elif report.term >= grant.term:
        view = view._replace(has_granted=False, refused_for=report.term)
    elif not report.has_memory:
        return _on_lost_memory(grant, voter, view)
    return _with_view(grant, voter, view)


def _on_lost_memory(grant: Grant, voter: int, view: VoterView) -> Grant:
    """The voter has no memory: a round begins that shows whether the term is still the last one of a majority."""
    if view.has_granted or view.memory_lost_in:  # a report from before it was readmitted, or one that says it again
        return _with_view(grant, voter, view)
    round = grant.round + 1
    return _with_view(grant._replace(round=round), voter, view._replace(memory_lost_in=round))


def _with_view(grant: Grant, voter: int, view: VoterView) -> Grant:
    views = list(grant.views)
    views[voter] = view
    return grant._replace(views=tuple(views))
