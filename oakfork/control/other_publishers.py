"""What a publisher hears of other publishers: their terms. Pure. Each is asked for its status time and again, so of
two that were apart the older one knows it soon after the healing, though nobody follows both.
"""

from typing import Sequence

from oakfork.control.events import Close, Command, Connect, Connected, Event, Heard, Lost, Say, TimeCame
from oakfork.control.messages import Ask, Status, pack
from oakfork.control.status import term_of

ASK = 10_000  # milliseconds from one time to the next; one that hasn't answered by then is asked anew


class OtherPublishers:
    """`places`: of all other publishers that may be there. `highest`: the highest term that one told, 0: none."""

    def __init__(self, places: Sequence[str]) -> None:
        self.places, self.highest = places, 0
        self.open: set[int] = set()  # links, one a place at most
        self.last, self.at = 0, 0

    @property
    def wake(self) -> int | None:
        return self.at if self.places else None

    def handle(self, now: int, event: Event) -> list[Command]:
        match event:
            case TimeCame() if self.wake is not None and now >= self.at:
                commands: list[Command] = [Close(link, "no answer") for link in sorted(self.open)]
                self.open.clear()
                for place in self.places:
                    self.last -= 1
                    self.open.add(self.last)
                    commands.append(Connect(place, self.last))
                self.at = now + ASK
                return commands
            case Connected(link) if link in self.open:
                return [Say(link, pack(Ask()))]
            case Lost(link):
                self.open.discard(link)
            case Heard(link, message) if link in self.open:
                if isinstance(message, Status):
                    self.highest = max(self.highest, term_of(message.told))
                self.open.discard(link)
                return [Close(link, "answered")]
        return []
