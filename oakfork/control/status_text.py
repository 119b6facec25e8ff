"""A status as text, for a terminal."""

from typing import Any, Mapping, Sequence


def position(told: Sequence[int]) -> str:
    """Term and number."""
    return "{}.{}".format(*told)


def for_long(ms: int) -> str:
    seconds = ms / 1000
    for size, word in ((86_400, "d"), (3600, "h"), (60, "min")):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {word}"
    return f"{seconds:.1f} s"


def in_force_everywhere(told: Mapping[str, Any], wanted: Sequence[int], followers: int) -> bool:
    """Whether a position is in force at all of so many, and at the relays between."""
    return (
        told["connected"] >= followers + len(told["relays"])
        and tuple(told["everywhere_position"]) >= tuple(wanted)
        and not told["behind"]
    )


def text(told: Mapping[str, Any]) -> str:
    """Of a publisher's status, or a relay's."""
    lines = [f"{told['who']}: position {position(told['position'])} (term.number)"]
    if "follows" in told:
        age = told["age_ms"]
        lines.append(
            f"follows {told['follows']}: {told['phase']}, "
            + ("never heard of a publisher" if age is None else f"as the publisher had it {for_long(age)} ago")
        )
    if told["higher_term"]:
        lines.append(f"OLDER TERM: there is a publisher of term {told['higher_term']}; this one takes no change sets")
    if told["everywhere"]:
        lines.append(f"in force at all {told['connected']} that are connected")
    else:
        lines.append(
            f"in force everywhere up to {position(told['everywhere_position'])}; "
            f"{len(told['behind']) + told['others_behind']} of {told['connected']} are behind"
        )
    if told.get("queued"):
        lines.append(f"{told['queued']} change sets wait")
    lines += [
        f"  relay   {row['who']}: {position(row['position'])}, reaches {row['reached']}" for row in told["relays"]
    ]
    lines += [
        f"  behind  {row['who']}: {position(row['position'])}, for {for_long(row['for_ms'])}" for row in told["behind"]
    ]
    lines += [
        f"  gone    {row['who']}: for {for_long(row['for_ms'])}, followed {row['followed']}" for row in told["gone"]
    ]
    for key, word in (
        ("others_behind", "behind"),
        ("others_gone", "gone"),
        ("others_relays", "relays"),
        ("left_out", "that there was no room to count"),
    ):
        if told[key]:
            lines.append(f"  and {told[key]} more {word}")
    if told["counts"]:
        lines.append("counts: " + ", ".join(f"{reason} {count}" for reason, count in sorted(told["counts"].items())))
    return "\n".join(lines)
