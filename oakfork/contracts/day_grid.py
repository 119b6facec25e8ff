"""Parts of a day in which the same daily windows hold, and sets of them as the fields of one large integer. Pure.

Daily windows begin and end at a few times of day. Between two of these nothing changes in a day, so what is counted by
the time of day needs one number for each such part: a field. All fields are added to at once.
"""

from bisect import bisect_left, bisect_right
from datetime import datetime, time, timedelta
from typing import Iterable

from oakfork.contracts.reservations import Window

MINUTES = 24 * 60  # in a day
DAY = timedelta(days=1)
# Bits of a field: the sum of 500 rates of up to a million takes 70 in the units of the check, the highest is a flag.
FIELD_BITS = 80
FLAG = 1 << (FIELD_BITS - 1)

Parts = int  # a set of parts of the day: 1 or 0 in the field of each


def minute_of(instant: datetime | time) -> int:
    """The minute of the day."""
    return instant.hour * 60 + instant.minute


class DayGrid:
    """The parts of a day between the times at which some of these windows begin or end daily."""

    def __init__(self, windows: Iterable[Window]) -> None:
        dailies = {window.daily for window in windows if window.daily is not None}
        self.starts = sorted({0} | {minute_of(at) for daily in dailies for at in daily})  # minutes of the day
        self.all: Parts = sum(1 << (FIELD_BITS * part) for part in range(len(self.starts)))
        self.flags = self.all * FLAG
        self.of_daily: dict[tuple[time, time], Parts] = {daily: self._of_daily(*daily) for daily in dailies}

    def parts_of(self, window: Window) -> Parts:
        """The parts of each day in which a window holds."""
        return self.all if window.daily is None else self.of_daily[window.daily]

    def parts_between(self, begins: datetime, ends: datetime) -> Parts:
        """The parts that some instant from `begins` until before `ends` is in."""
        if ends - begins >= DAY:
            return self.all
        first = self._part_at(minute_of(begins))
        is_whole_minute = not ends.second and not ends.microsecond
        last = bisect_left(self.starts, minute_of(ends) + (not is_whole_minute))  # the first part after the segment
        if ends.date() == begins.date():
            return self._range(first, last)
        return self._range(first, len(self.starts)) | self._range(0, last)

    def flagged(self, fields: int) -> Parts:
        """The parts whose field has its flag set."""
        return (fields & self.flags) >> (FIELD_BITS - 1)

    def positive(self, counts: int) -> Parts:
        """The parts whose field is above 0; none is over half of what a field can hold."""
        return self.flagged(counts + self.all * (FLAG - 1))

    def first_instant(self, begins: datetime, parts: Parts) -> datetime:
        """The first instant from `begins` on that is in one of these parts."""
        first = self._part_at(minute_of(begins))
        later = parts >> (FIELD_BITS * first)
        if later & 1:
            return begins
        if later:
            minutes = self.starts[first + _lowest(later)] - minute_of(begins)
        else:
            minutes = MINUTES + self.starts[_lowest(parts)] - minute_of(begins)
        return begins.replace(second=0, microsecond=0) + timedelta(minutes=minutes)

    def _of_daily(self, begins: time, ends: time) -> Parts:
        first, last = (bisect_left(self.starts, minute_of(at)) for at in (begins, ends))
        if begins < ends:
            return self._range(first, last)
        return self._range(first, len(self.starts)) | self._range(0, last)

    def _part_at(self, minute: int) -> int:
        return bisect_right(self.starts, minute) - 1

    def _range(self, first: int, last: int) -> Parts:
        """The parts from one up to another."""
        if last <= first:
            return 0
        return self.all >> (FIELD_BITS * (len(self.starts) - last + first)) << (FIELD_BITS * first)


def _lowest(parts: Parts) -> int:
    return ((parts & -parts).bit_length() - 1) // FIELD_BITS
