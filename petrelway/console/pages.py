"""What the console shows: each page as data, built in small steps. The same data is the page's JSON."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from . import explainer

ROWS_BOUND = 200  # of one page; more are behind `?from=`
HISTORY_LOOKS, HISTORY_LOOK_MS = 4, 100.0  # so often, so far apart it is looked whether a keeper has answered
TEXT_BOUND = 300  # characters shown of a name that came from outside


def short(text: str) -> str:
    return text if len(text) <= TEXT_BOUND else text[:TEXT_BOUND] + "..."


def service(d: Any, asked: dict[str, str]) -> Generator[None, None, dict[str, Any]]:
    """Service against the quoted time now and over the last hour."""
    now, t = d.now(), d.telemetry
    minute = t.service(now, 60)
    yield
    hour = t.service(now, 3600)
    yield
    rows = {}
    for request_class in t.latency_objective_ms:
        rows[request_class] = {
            "quoted ms": t.latency_objective_ms[request_class],
            **t.quantiles(now, request_class),
        }
        yield
    series = {field: t.windows.series(now, field) for field in ("taken", "in time", "fulfilled", "nacked")}
    return {"minute": minute, "hour": hour, "latency": rows, "series": series, "own": d.own_state()}


def executors(d: Any, asked: dict[str, str]) -> Generator[None, None, dict[str, Any]]:
    """Per zone and executor: stage, pace, backlog, why it is avoided."""
    host, now = d.dispatcher, d.now()
    rows: list[dict[str, Any]] = []
    minute = d.telemetry.service(now, 60).get("executor", {})
    yield
    for row in explainer.executors(host.front_end, host.executors.outside_ids, host.zones.outside_ids, now):
        row["last minute"] = minute.get(row["executor"], {})
        link = host.channels.get(host.executors.indices.get(row["executor"], -1))
        row["link"] = "up" if link is not None and link.ready else "down"
        row["executor"] = short(row["executor"])
        rows.append(row)
        yield
    rows.sort(key=lambda r: (r["hall"], r["executor"]))
    return _paged(rows, asked)


def functions(d: Any, asked: dict[str, str]) -> Generator[None, None, dict[str, Any]]:
    """Per function where it is believed warm; the hot ones by the sketch."""
    host, now = d.dispatcher, d.now()
    known = {index: f.name for index, f in host.known_functions.items()}
    yield
    wanted = asked.get("search", "")
    found = [index for index, name in known.items() if wanted in name]
    start = _from(asked)
    rows = []
    for index in sorted(found, key=known.__getitem__)[start : start + ROWS_BOUND]:
        if index in host.front_end.functions:
            row = explainer.function(host.front_end, index, known[index], host.executors.outside_ids, now)
            row["function"] = short(row["function"])
            rows.append(row)
        yield
    hot = [{**h, "function": short(h["function"])} for h in d.telemetry.hot(20)]
    return {"rows": rows, "of": len(found), "from": start, "hot": hot, "search": short(wanted)}


def requests(d: Any, asked: dict[str, str]) -> Generator[None, None, dict[str, Any]]:
    """The last few thousand requests with their decisions; `?id=` finds one by the event's id."""
    wanted, start = asked.get("id", ""), _from(asked)
    rows: list[dict[str, Any]] = []
    passed = 0
    stories = list(d.telemetry.stories)
    yield
    for i, story in enumerate(reversed(stories)):
        if i % 50 == 0:
            yield
        if wanted and wanted not in story.mark:
            continue
        passed += 1
        if passed > start and len(rows) < ROWS_BOUND // 4:
            rows.append(
                {
                    "source": short(story.mark.partition("\n")[0]),
                    "id": short(story.mark.partition("\n")[2]),
                    "tariff": story.request_class,
                    "customer": short(story.tenant),
                    "function": short(story.function),
                    "answer": story.answer or "open",
                    "took ms": round(story.took_ms, 1),
                    "events": [
                        [at, what, short(executor), short(detail)]
                        for at, what, executor, detail in story.events
                    ],
                }
            )
    return {"rows": rows, "of": passed, "from": start, "search": short(wanted)}


def changes(d: Any, asked: dict[str, str]) -> Generator[None, None, dict[str, Any]]:
    """What changed for an operator, newest first."""
    yield
    now = d.now()
    rows = [
        {"s ago": round((now - at) / 1e3, 1), "what": what, "detail": short(detail)}
        for at, what, detail in reversed(d.telemetry.changes)
    ]
    return _paged(rows, asked)


def own(d: Any, asked: dict[str, str]) -> Generator[None, None, dict[str, Any]]:
    """The daemon's own state: lag, budgets, what is given up."""
    yield
    return d.own_state()


def members(d: Any, asked: dict[str, str]) -> Generator[None, None, dict[str, Any]]:
    """The whole fleet as this front end sees it: who is there, how it knows, which part it holds."""
    yield
    if d.fleet is None:
        return {**_paged([], asked), "fleet": ""}
    seen = d.fleet.members_seen()
    yield
    return {**seen, **_paged(seen["rows"], asked)}


def policy(d: Any, asked: dict[str, str]) -> Generator[Any, None, dict[str, Any]]:
    """The terms: which version holds here and whether requests are taken under it; with the history, on
    a member that keeps nothing only as it was told last; `?history=1` asks anew, `?document=N` for one
    version's document."""
    yield
    if d.policy is None:
        return {"version": None, "rows": [], "of": 0, "from": 0, "search": ""}
    seen = d.policy.status()
    wanted = asked.get("document", "")
    if d.policy.member.raft is None and (wanted or "history" in asked):
        d.policy.request_history()
        for _ in range(HISTORY_LOOKS):
            yield HISTORY_LOOK_MS
    history = d.policy.history()
    seen["history"] = None if history is None else history.version
    rows = []
    for v in reversed(history.versions if history else ()):
        rows.append({
            "version": v.number, "digest": v.digest, "made from": v.base, "by": short(v.by), "at": v.at,
            "change": short(v.proposal), "without": [[short(n), short(why)] for n, why in v.without],
        })  # fmt: skip
        yield
    ended = [
        {"change": short(s.proposal), "version": s.version, "why": short(s.why)}
        for s in reversed(history.outcomes if history else ())
    ]
    if wanted:
        found = [v.document for v in (history.versions if history else ()) if str(v.number) == wanted]
        seen["asked document"] = found[0] if found else None
    pending = history.pending if history else None
    seen["under way"] = pending.proposed.id if pending else ""
    return {**seen, "ended": ended[:ROWS_BOUND], **_paged(rows, asked)}


def live(d: Any) -> dict[str, Any]:
    """The few figures that are sent each second."""
    now, t = d.now(), d.telemetry
    minute = t.windows.over(now, 60)
    all_ = {
        field: minute["all", "", field]
        for field in ("taken", "in time", "fulfilled", "nacked", "broken off", "gone")
    }
    done = sum(all_[k] for k in ("fulfilled", "nacked", "broken off", "gone"))
    replicas = {w: minute["all", "", f"copy {w}"] for w in ("found", "began", "awaited")}
    state = d.own_state()
    return {
        "last minute": all_,
        "service": round(all_["in time"] / max(1, done), 4),
        "copies": replicas,
        "series": t.windows.series(now, "taken"),
        "open": state["open triggers"],
        "held": state["held"],
        "loads": state["orders and loads"],
        "lag ms": state["lag ms"],
        "step": state["gives up"],
    }


def _from(asked: dict[str, str]) -> int:
    text = asked.get("from", "0")
    return min(1_000_000, int(text)) if text.isascii() and text.isdigit() else 0


def _paged(rows: list[dict[str, Any]], asked: dict[str, str]) -> dict[str, Any]:
    start = _from(asked)
    return {"rows": rows[start : start + ROWS_BOUND], "of": len(rows), "from": start, "search": ""}


PAGES = {
    "service": service,
    "executors": executors,
    "functions": functions,
    "triggers": requests,
    "changes": changes,
    "members": members,
    "policy": policy,
    "own": own,
}
