"""What operators ask of a publisher: to take a change set, and how far those in force have come. Over trio."""

import json
from hashlib import blake2b
from typing import Any, TypeVar

import trio

from oakfork.control.change_schema import submitted
from oakfork.control.connections import FrameConnection, connect
from oakfork.control.messages import Ask, Goodbye, Message, Status, Submit, Verdict, pack, unpack_down
from oakfork.errors import ConnectionFailedError, PublisherTimeoutError
from oakfork.sockets.outcomes import Outcome

ANSWER_TIMEOUT = 10.0  # seconds for one answer
DEFAULT_TIMEOUT = 30.0  # for all of them
PAUSE, LONGEST_PAUSE = 0.25, 2.0  # between two askings, doubles

Answer = TypeVar("Answer", bound=Message)


async def exchange(place: str, asked: Message, kind: type[Answer]) -> Answer:
    """One connection, one question, its answer; raises Break."""
    found: list[Message] = []

    async def take(body: bytes) -> None:
        message = unpack_down(body)
        if isinstance(message, kind | Goodbye) or message is None:
            found.append(message)
            link.over("answered")

    link = FrameConnection(await connect(place), ANSWER_TIMEOUT)
    link.say(pack(asked))
    with trio.move_on_after(ANSWER_TIMEOUT) as scope:
        await link.run(take)
    if found and isinstance(found[0], kind):
        return found[0]
    raise ConnectionFailedError(
        Outcome.SILENT
        if scope.cancelled_caught
        else Outcome.MALFORMED
        if found == [None]
        else Outcome.TURNED_AWAY
        if found
        else Outcome.ENDED
    )


async def _patiently(place: str, asked: Message, kind: type[Answer], patience: float) -> Answer:
    pause, last = PAUSE, "no answer"
    with trio.move_on_after(patience):
        while True:
            try:
                return await exchange(place, asked, kind)
            except ConnectionFailedError as end:
                last = end.outcome.name
            await trio.sleep(pause)
            pause = min(2 * pause, LONGEST_PAUSE)
    raise PublisherTimeoutError(f"{place}: {last}")


async def publish(place: str, id: str, change: bytes, patience: float = DEFAULT_TIMEOUT) -> Verdict:
    """Submits a change set until there is a verdict on it; the same one has no second effect. Raises
    PublisherTimeoutError where there is none after `patience` seconds, ChangeError where it is too long."""
    return await _patiently(place, Submit(submitted_id(id, change), submitted(change)), Verdict, patience)


def submitted_id(id: str, change: bytes) -> str:
    """With the digest of the file: one that was edited under an old id is another change set, not an old answer."""
    return f"{id}#{blake2b(change, digest_size=8).hexdigest()}"


async def status(place: str, patience: float = ANSWER_TIMEOUT) -> dict[str, Any]:
    """The publisher's status, as docs/control.md has it. Raises PublisherTimeoutError."""
    told = await _patiently(place, Ask(), Status, patience)
    try:
        found = json.loads(told.told)
    except (ValueError, RecursionError):
        raise PublisherTimeoutError(f"{place}: told something that is no status") from None
    if not isinstance(found, dict):
        raise PublisherTimeoutError(f"{place}: told something that is no status")
    return found
