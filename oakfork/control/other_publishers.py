"""Asks other publishers for their terms. No I/O.

Each is polled for its status. After a partition with a publisher on each side, the one of the older term thus soon
learns of the other, even if no process follows both.
"""

from typing import Iterator, Sequence

from oakfork.control.events import (
    Close,
    Command,
    Connect,
    Connected,
    Disconnected,
    Event,
    FrameReceived,
    SendFrame,
    TimerFired,
)
from oakfork.control.messages import Status, StatusRequest, pack
from oakfork.control.status import ReportedStatus, reported_status

POLL_INTERVAL = 10_000  # milliseconds; a publisher that hasn't answered by the next poll is asked again


class OtherPublishers:
    """Polls the publishers at `addresses`. `highest_term` is the highest term that one reported, 0 if none did.

    `link_numbers` is shared with the other parts of the publisher that open links.
    """

    def __init__(self, addresses: Sequence[str], link_numbers: Iterator[int]) -> None:
        self.addresses = addresses
        self.highest_term = 0
        self.open_links: set[int] = set()  # one for each address at most
        self.link_numbers = link_numbers
        self.next_poll = 0

    @property
    def timer(self) -> int | None:
        """When to deliver the next TimerFired; None if there are no addresses."""
        return self.next_poll if self.addresses else None

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handles a timer event, or an event of one of its links; ignores all others."""
        match event:
            case TimerFired() if self.timer is not None and now >= self.next_poll:
                return self._poll(now)
            case Connected(link) if link in self.open_links:
                return [SendFrame(link, pack(StatusRequest()))]
            case Disconnected(link):
                self.open_links.discard(link)
            case FrameReceived(link, message) if link in self.open_links:
                if isinstance(message, Status):
                    self._answered(reported_status(message.document))
                self.open_links.discard(link)
                return [Close(link, "answered")]
        return []

    def _answered(self, status: ReportedStatus | None) -> None:
        """Learns the term of a publisher, or the one up to which a publisher that starts is to take over."""
        if status is not None:
            taken_over = status.claim.word + 1 if status.claim and status.claim.word else 0
            self.highest_term = max(self.highest_term, status.position.term, taken_over)

    def _poll(self, now: int) -> list[Command]:
        commands: list[Command] = [Close(link, "no answer") for link in sorted(self.open_links)]
        self.open_links.clear()
        for address in self.addresses:
            link = next(self.link_numbers)
            self.open_links.add(link)
            commands.append(Connect(address, link))
        self.next_poll = now + POLL_INTERVAL
        return commands
