"""Formats a status for a terminal."""

from typing import Any, Mapping, Sequence

UNITS = ((86_400, "d"), (3600, "h"), (60, "min"))  # seconds and symbol


def position_text(position: Sequence[int]) -> str:
    """A position as term and number, separated by a dot."""
    return "{}.{}".format(*position)


def duration_text(milliseconds: int) -> str:
    """A duration in the largest unit of which it has at least two, otherwise in seconds."""
    seconds = milliseconds / 1000
    for size, symbol in UNITS:
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {symbol}"
    return f"{seconds:.1f} s"


def in_force_everywhere(status: Mapping[str, Any], position: Sequence[int], followers: int) -> bool:
    """Whether a position is in force at that many followers and at the relays, and no one is behind."""
    return (
        status["connected"] >= followers + len(status["relays"])
        and tuple(status["everywhere_position"]) >= tuple(position)
        and not status["behind"]
    )


def text(status: Mapping[str, Any]) -> str:
    """The status of a publisher or a relay, as several lines."""
    return "\n".join([*_summary_lines(status), *_follower_lines(status), *_count_lines(status)])


def _summary_lines(status: Mapping[str, Any]) -> list[str]:
    lines = [f"{status['who']}: position {position_text(status['position'])} (term.number)"]
    if "follows" in status:
        lines.append(f"follows {status['follows']}: {status['phase']}, {_age_text(status['age_ms'])}")
    if status.get("claim"):
        lines.append("starts: takes no change sets until it knows that no other publisher decides")
    if (grant := status.get("grant")) is not None:
        lines.append(f"{grant['answering']} of {grant['voters']} voters grant its term" + _voter_faults(grant))
    if (voter := status.get("voter")) is not None:
        memory = "" if voter["has_memory"] else "; WITHOUT MEMORY, does not count yet"
        lines.append(f"votes: term {voter['term']}, recorded {position_text(voter['recorded'])}{memory}")
    if status.get("later_copy"):
        lines.append(
            f"OLDER COPY: {position_text(status['later_copy'])} was in force, which its database does not have; "
            "this one takes no change sets"
        )
    elif status["higher_term"]:
        lines.append(f"OLDER TERM: there is a publisher of term {status['higher_term']}; this one takes no change sets")
    if status["everywhere"]:
        lines.append(f"in force at all {status['connected']} that are connected")
    else:
        lines.append(
            f"in force everywhere up to {position_text(status['everywhere_position'])}; "
            f"{len(status['behind']) + status['others_behind']} of {status['connected']} are behind"
        )
    if status.get("queued"):
        lines.append(f"{status['queued']} change sets are waiting")
    return lines


def _voter_faults(grant: Mapping[str, Any]) -> str:
    faults = f", {grant['without_memory']} without memory" if grant["without_memory"] else ""
    return faults + (f"; term {grant['later_term']} is granted to another publisher" if grant["later_term"] else "")


def _age_text(age_ms: int | None) -> str:
    if age_ms is None:
        return "never heard of a publisher"
    return f"state as the publisher had it {duration_text(age_ms)} ago"


def _follower_lines(status: Mapping[str, Any]) -> list[str]:
    relays = [
        f"  relay   {relay['who']}: {position_text(relay['position'])}, reaches {relay['reached']}"
        for relay in status["relays"]
    ]
    behind = [
        f"  behind  {follower['who']}: {position_text(follower['position'])}, for {duration_text(follower['for_ms'])}"
        for follower in status["behind"]
    ]
    gone = [
        f"  gone    {follower['who']}: for {duration_text(follower['for_ms'])}, followed {follower['followed']}"
        for follower in status["gone"]
    ]
    return relays + behind + gone


def _count_lines(status: Mapping[str, Any]) -> list[str]:
    lines = []
    for key, description in (
        ("others_behind", "behind"),
        ("others_gone", "gone"),
        ("others_relays", "relays"),
        ("left_out", "not counted for lack of room"),
    ):
        if status[key]:
            lines.append(f"  and {status[key]} more {description}")
    if status["counts"]:
        counts = ", ".join(f"{reason} {count}" for reason, count in sorted(status["counts"].items()))
        lines.append(f"counts: {counts}")
    return lines
