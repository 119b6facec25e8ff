"""States of a search over publishers, voters and the letters between them, and which of them are the same."""

from typing import Any, NamedTuple

from oakfork.control.events import VoterState
from oakfork.control.grant import Grant, VoterView
from oakfork.control.messages import EMPTY, GrantRequest, Position, RecordRequest, VoterReport

INCARNATION_STEP = 10  # from one file of a voter to the next


class Disk(NamedTuple):
    """A publisher's database: the change sets, each by a name of its own, the last position and the last terms."""

    log: tuple[str, ...] = ()
    stored: Position = EMPTY
    begun_terms: tuple[int, ...] = (0,)  # since the last change set


class PublisherState(NamedTuple):
    """One publisher: its disk and file, and its process if that runs."""

    disk: Disk = Disk()
    word: int = 0  # the operator's, in its file
    starts: int = 0
    begun_before: tuple[int, ...] = ()  # the terms of the disk when the process started
    grant: Grant | None = None  # None: it does not run, or refuses all change sets
    decides: bool = False
    acknowledged: int = 0  # change sets of the log that are in force at this process


class Letter(NamedTuple):
    """A request or a report on its way."""

    publisher: int
    voter: int
    message: GrantRequest | RecordRequest | VoterReport


class State(NamedTuple):
    """Publishers, voters, what is under way between them, and how many events of each kind may still happen."""

    publishers: tuple[PublisherState, ...]
    voters: tuple[VoterState, ...]
    starts: int = 0
    sets: int = 0
    copies: int = 0
    losses: int = 0  # of voters' disks
    delays: int = 0  # of letters that are lost, arrive later than at once, or twice
    letters: frozenset[Letter] = frozenset()
    in_force: tuple[str, ...] = ()  # acknowledged, in their order
    in_force_term: int = 0  # of the last one
    begun: tuple[tuple[int, tuple[str, ...]], ...] = ()  # the terms of those that decided, and their logs then


def start_state(voters: int = 3, words: tuple[int, ...] = (1, 1), **budget: int) -> State:
    """New voters, and publishers with empty databases whose files have these words."""
    return State(
        tuple(PublisherState(word=word) for word in words),
        tuple(VoterState(incarnation=1 + number) for number in range(voters)),
        **budget,
    )


def with_publisher(state: State, index: int, publisher: PublisherState) -> State:
    """The state with another one of its publishers."""
    return state._replace(publishers=replaced(state.publishers, index, publisher))


def replaced(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    """The items with one of them replaced."""
    return (*items[:index], item, *items[index + 1 :])


def canonical(state: State) -> State:
    """The same state for all orders of the voters: files are numbered by voter, rounds by their order."""
    rounds = [_round_numbers(state, index) for index in range(len(state.publishers))]

    def column(voter: int) -> tuple[Any, ...]:
        views = tuple(
            (0,) if publisher.grant is None else _numbered(publisher.grant.views[voter], numbers)
            for publisher, numbers in zip(state.publishers, rounds, strict=True)
        )
        letters = sorted(
            (letter.publisher, type(letter.message).__name__, _numbered(letter.message, rounds[letter.publisher]))
            for letter in state.letters
            if letter.voter == voter
        )
        return _numbered(state.voters[voter], {}), views, tuple(letters)

    publishers = tuple(
        publisher
        if publisher.grant is None
        else publisher._replace(grant=publisher.grant._replace(views=(), round=numbers[publisher.grant.round]))
        for publisher, numbers in zip(state.publishers, rounds, strict=True)
    )
    columns = tuple(sorted(column(voter) for voter in range(len(state.voters))))
    return state._replace(publishers=publishers, voters=columns, letters=frozenset())


def _round_numbers(state: State, index: int) -> dict[int, int]:
    """The rounds of a publisher that matter, by their order."""
    grant = state.publishers[index].grant
    rounds = {0} | {letter.message.round for letter in state.letters if letter.publisher == index}
    if grant is not None:
        rounds |= {grant.round} | {view.round for view in grant.views} | {view.memory_lost_in for view in grant.views}
    return {round: number for number, round in enumerate(sorted(rounds))}


def _numbered(
    item: VoterState | VoterView | GrantRequest | RecordRequest | VoterReport, rounds: dict[int, int]
) -> tuple[Any, ...]:
    """The fields of a state, a view or a message, with the number of a voter's file in place of the incarnation."""
    names = item._fields if isinstance(item, tuple) else item.__struct_fields__
    fields = {name: getattr(item, name) for name in names}
    fields["incarnation"] = fields["incarnation"] // INCARNATION_STEP + (fields["incarnation"] > 0)
    for name in ("round", "memory_lost_in"):
        if name in fields:
            fields[name] = rounds[fields[name]]
    return tuple(fields.values())
