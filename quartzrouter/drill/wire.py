"""Decoding and encoding of the wire's lines; no state."""

from typing import Any

from quartzrouter.interface import (
    ColdStart,
    Dispatch,
    Effect,
    Ending,
    Listed,
    Outcome,
    Permits,
    Req,
    State,
    Tier,
    Told,
    VHost,
)

EFFECTS = {"retryable": Effect.REPLAYABLE, "dedup": Effect.UNIQUED, "fragile": Effect.NON_REPLAYABLE}
STATES = {"Running": State.UP, "Stopping": State.DRAINING, "Deleted": State.GONE}
ENDINGS = {
    "success": Ending.DONE,
    "failure": Ending.ERROR,
    "overloaded": Ending.FULL,
    "timed_out": Ending.LATE,
    "unreachable": Ending.NO_CONNECTION,
    "broken": Ending.CUT,
    "withdrawn": Ending.CALLED_OFF,
    "void": Ending.UNSENT,
    "absent": Ending.LACKING,
}
LOADS = {
    "rif": "outstanding",
    "q": "queued",
    "busy": "busy",
    "lat_ms": "time",
    "rate": "rate",
    "fail_rate": "errors",
}


class Malformed(ValueError):
    """An event that cannot be read."""


def need(event: dict[str, Any], key: str, *kinds: type) -> Any:
    value = event.get(key)
    if value is None:
        raise Malformed(f"{key} is missing")
    if (kinds and not isinstance(value, kinds)) or (isinstance(value, bool) and bool not in kinds):
        raise Malformed(f"{key} is {value!r}")
    return value


class Setup:
    """The wire's settings of one instance, as the arguments a Router takes."""

    def __init__(self, event: dict[str, Any]):
        setup = need(event, "setup", dict)
        fam, limits, rules = (setup.get(key) or {} for key in ("family_info", "limits", "rules"))
        self.models = setup.get("models") or []
        self.parent_kind, self.origin_kind = (
            self._model(fam.get(key)) for key in ("shield_kind", "store_kind")
        )
        self.fields = [LOADS.get(f, f) for f in (setup.get("load_report") or {}).get("fields") or []]
        zones, home = setup.get("zones") or [], setup.get("zone") or ""
        served = dict(zip(zones, fam.get("zone_balancers") or [], strict=False))
        everyone = max(1, setup.get("peers_total") or 1)
        window, multiple = rules.get("tip_after_us") or 1_000_000, rules.get("tip_multiple") or 1.0
        self.arguments = {
            "me": setup.get("me") or 0,
            "seed": need(event, "prng", int),
            "home": home,
            "vhosts": [self._vhost(n, c, fam) for n, c in enumerate(setup.get("categories") or [])],
            "permits": Permits(
                dispatches=limits.get("try_limit") or 1,
                pass_through=bool(fam.get("pass_through_ok")),
                joins=fam.get("shares_fills") is not False,
                siblings=(fam.get("sideways") or "silent") != "silent",
                probes=bool(limits.get("probes")),
                call_off=bool(limits.get("cancel")),
                longest_wait=(limits.get("max_retry_after_us") or 0) if limits.get("retry_after") else 0,
                subscribe=setup.get("discovery") == "on_request",
            ),
            "cold_cache": ColdStart(
                floor=rules.get("cold_from") or 0.0,
                ramp=rules.get("ramp_time_us") or 0,
                multiple=multiple,
                window=window,
                routers=max(1, served.get(home) or everyone),
            ),
            "cold_parent": ColdStart(
                floor=fam.get("parent_floor") or 0.0,
                ramp=fam.get("parent_cold_us") or 0,
                multiple=fam.get("parent_fall_multiple") or multiple,
                window=window,
                routers=everyone,
            ),
            "purge_life": fam.get("gone_everywhere_us") or 0,
            "pace": float(fam.get("flow_kb_per_s") or 0),
            "rated": (setup.get("weights") or "silent") != "silent",
        }

    def _model(self, place: int | None) -> str | None:
        return self.models[place] if place is not None and 0 <= place < len(self.models) else None

    @staticmethod
    def _vhost(n: int, band: dict[str, Any], fam: dict[str, Any]) -> VHost:
        def by_band(key: str, default: Any) -> Any:
            row = fam.get(key) or []
            return row[n] if n < len(row) else default

        return VHost(
            name=need(band, "name", str),
            effect=EFFECTS.get(band.get("effect"), Effect.NON_REPLAYABLE),
            value=band.get("worth") or 0.0,
            first_byte_target=band.get("aim_us") or band.get("deadline_us") or 0,
            target_stretch=band.get("aim_stretch") or 0.0,
            client_timeout=band.get("deadline_us") or 0,
            late_share=band.get("late_share") or 0.0,
            repeats_within=band.get("group") or "cell",
            repeats_for=band.get("window_us") or 0,
            fresh_for=by_band("good_for_us", 0),
            grace_for=by_band("grace_for_us", 0),
            old_share=by_band("class_stale_worth", 0.0),
            never_kept=bool(by_band("never_kept", False)),
        )

    def listed(self, entry: dict[str, Any]) -> Listed:
        kind = entry.get("model") or ""
        tier = (
            Tier.PARENT
            if kind == self.parent_kind
            else Tier.ORIGIN
            if kind == self.origin_kind
            else Tier.CACHE
        )
        return Listed(
            name=need(entry, "cache", str),
            location=entry.get("campus") or "",
            tier=tier,
            kind=kind,
            cell=entry.get("pack") or 0,
            state=STATES.get(need(entry, "condition", str), State.DRAINING),
            rating=entry.get("rating") or 1.0,
            started=entry.get("came_up_us") or 0,
        )

    def report(self, load: list[float] | None) -> dict[str, float]:
        return dict(zip(self.fields, load or [], strict=False))


def req(event: dict[str, Any]) -> Req:
    return Req(
        id=need(event, "op_id", int),
        vhost=need(event, "band", str),
        obj=need(event, "object", str),
        group=event.get("tag"),
        part=event.get("piece") or 0,
        size_kb=event.get("size_kb") or 0.0,
        timeout=need(event, "time_budget_us", int),
        tenant=event.get("project") or None,
    )


def ending(event: dict[str, Any]) -> Ending:
    return ENDINGS.get(need(event, "how", str), Ending.ERROR)


def outcome(event: dict[str, Any]) -> Outcome:
    note = event.get("note") or 0
    return Outcome(
        hop=need(event, "hop", int),
        ending=ending(event),
        elapsed=need(event, "time_taken_us", int),
        told=Told(note) if note in Told._value2member_map_ else Told.NOTHING,
        over=bool(event.get("ended")),
    )


def dispatch(req_id: int, answer: Dispatch) -> dict[str, Any]:
    return {
        "t": "ANSWER_FROM",
        "op_id": req_id,
        "cache": answer.be,
        "fill_from": answer.source,
        "keep": answer.rank,
        "oldness_us": answer.oldest,
        "manner": answer.join + 8 * answer.renew,
        "timeout_us": answer.timeout,
    }
