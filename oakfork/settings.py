"""Reads the settings of a gateway from the keys of its start-up configuration. No decision is taken here."""

from oakfork.interface import SECOND, GatewaySettings, Method, Plan, RepeatSafety

REPEAT_SAFETY_OF_EFFECT = {"read_like": RepeatSafety.IDEMPOTENT, "idempotency_key": RepeatSafety.DEDUPLICATED}


def tenths(milliseconds: float) -> int:
    """Milliseconds as whole tenths of a millisecond, rounded."""
    return round(milliseconds * 10)


def read_settings(seed: int, info: dict) -> GatewaySettings:
    """The settings in a parsed start-up configuration; unknown keys are ignored, missing ones get a harmless value.

    Raises ValueError, TypeError, AttributeError or KeyError where a value is of another type or a method lacks its
    deadlines.
    """
    limits = info.get("limits", {})
    rules = info.get("invariants", {})
    specifics = info.get("specifics", {})
    stats = info.get("stats", {})
    prices = info.get("tariffs", {})
    return GatewaySettings(
        methods=tuple(_method(row) for row in info.get("classes", ())),
        plans=tuple(_plan(row) for row in info.get("tiers-of-service", ())),
        seed=seed,
        index=int(info.get("index", 0)),
        gateways=int(info.get("balancers", 1)),
        zone=int(info.get("zone", 0)),
        peer_frames_per_s=specifics.get("mail-per-s", 0.0),
        max_units=specifics.get("units-top", 1),
        reports_true_units=bool(specifics.get("settles", False)),
        peers=bool(limits.get("peers", False)),
        cancel=bool(limits.get("cancel", False)),
        second_copies=bool(limits.get("parallel-tries", False)),
        retry_after=bool(limits.get("retry-after", False)),
        probing=bool(limits.get("probing", False)),
        max_call_outs=int(limits.get("attempts-cap", 1)),
        subscribes_to_list=info.get("discovery") == "subscribe",
        list_timeout=tenths(rules.get("ask-within-ms", 0)) or SECOND,
        load_report_names=tuple(stats.get("names", ())),
        load_report_mode=stats.get("how", "off"),
        drain_grace=tenths(rules.get("stop-sending-within-ms", 0)),
        cold_share=rules.get("cold-share", 1.0),
        cold_time=tenths(rules.get("cold-ms", 0)),
        fall_multiple=rules.get("fall-multiple", 1.0),
        fall_time=tenths(rules.get("fall-ms", 0)),
        probe_price=float(prices.get("probe", 0.0)),
        connection_price=float(prices.get("handshake", 0.0)),
        idle_timeout=tenths(limits.get("conn-idle-ms", 0)),
    )


def _method(row: dict) -> Method:
    return Method(
        soft_deadline=tenths(row["aim-ms"]),
        deadline=tenths(row["deadline-ms"]),
        repeat=REPEAT_SAFETY_OF_EFFECT.get(row.get("effect"), RepeatSafety.NON_IDEMPOTENT),
        group=row.get("group", "all"),
        deduplication_time=tenths(row.get("key-ttl-ms", 0)),
        utility=row.get("value", 1.0),
        late_utility=row.get("late-worth", 0.0),
        streamed=bool(row.get("streamed", False)),
    )


def _plan(row: dict) -> Plan:
    return Plan(
        rate=row.get("refill", 0.0),
        burst=row.get("peak-units", 0.0),
        concurrency=int(row.get("concurrency", 0)),
        ceiling_rate=row.get("never-over-rate", 0.0),
        ceiling_burst=row.get("ceiling-burst", 0.0),
        ceiling_slack=row.get("cap-slack", 0.0),
        price=row.get("value-factor", 1.0),
        beyond_utility=row.get("over-worth", 0.0),
        beyond_cost=row.get("beyond-costs", 0.0),
    )
