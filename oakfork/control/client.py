"""Operators' requests to a publisher: submitting change sets and reading the status. Over trio."""

import json
from hashlib import blake2b
from typing import Any, TypeVar

import trio

from oakfork.control.change_schema import submitted
from oakfork.control.connections import FrameConnection, connect
from oakfork.control.messages import Goodbye, Message, Status, StatusRequest, Submit, SubmitResult, pack, unpack_down
from oakfork.errors import ConnectionFailedError, PublisherTimeoutError
from oakfork.sockets.outcomes import Outcome

ANSWER_TIMEOUT = 10.0  # seconds for one answer
DEFAULT_TIMEOUT = 30.0  # seconds for all tries
MIN_PAUSE = 0.25  # seconds between two tries; doubles up to MAX_PAUSE
MAX_PAUSE = 2.0

Answer = TypeVar("Answer", bound=Message)


async def exchange(address: str, request: Message, answer_type: type[Answer]) -> Answer:
    """Sends one request on a connection of its own and returns the answer; raises ConnectionFailedError."""
    answers: list[Message | None] = []

    async def handle_body(body: bytes) -> None:
        message = unpack_down(body)
        if isinstance(message, answer_type | Goodbye) or message is None:
            answers.append(message)
            connection.abort("answered")

    connection = FrameConnection(await connect(address), ANSWER_TIMEOUT)
    connection.send(pack(request))
    with trio.move_on_after(ANSWER_TIMEOUT) as scope:
        await connection.run(handle_body)
    if answers and isinstance(answers[0], answer_type):
        return answers[0]
    if scope.cancelled_caught:
        raise ConnectionFailedError(Outcome.SILENT)
    if answers == [None]:
        raise ConnectionFailedError(Outcome.MALFORMED)
    if answers:
        raise ConnectionFailedError(Outcome.TURNED_AWAY)
    raise ConnectionFailedError(Outcome.ENDED)


async def _retry(address: str, request: Message, answer_type: type[Answer], timeout: float) -> Answer:
    """Repeats a request until it is answered; raises PublisherTimeoutError after `timeout` seconds."""
    pause = MIN_PAUSE
    last_failure = "no answer"
    with trio.move_on_after(timeout):
        while True:
            try:
                return await exchange(address, request, answer_type)
            except ConnectionFailedError as error:
                last_failure = error.outcome.name
            await trio.sleep(pause)
            pause = min(2 * pause, MAX_PAUSE)
    raise PublisherTimeoutError(f"{address}: {last_failure}")


async def publish(address: str, id: str, change: bytes, timeout: float = DEFAULT_TIMEOUT) -> SubmitResult:
    """Submits a change set until there is a result; submitting it again has no second effect.

    Raises PublisherTimeoutError if there is none after `timeout` seconds, ChangeSetError if the file is too long.
    """
    return await _retry(address, Submit(submitted_id(id, change), submitted(change)), SubmitResult, timeout)


def submitted_id(id: str, change: bytes) -> str:
    """The id with a digest of the file: a file edited under the same id is another change set, and must not get the
    answer to the earlier one."""
    return f"{id}#{blake2b(change, digest_size=8).hexdigest()}"


async def status(address: str, timeout: float = ANSWER_TIMEOUT) -> dict[str, Any]:
    """The status of a publisher or relay, as described in docs/control.md. Raises PublisherTimeoutError."""
    answer = await _retry(address, StatusRequest(), Status, timeout)
    try:
        document = json.loads(answer.document)
    except (ValueError, RecursionError):
        raise PublisherTimeoutError(f"{address}: the status is not JSON") from None
    if not isinstance(document, dict):
        raise PublisherTimeoutError(f"{address}: the status is not a JSON object")
    return document
