"""Judges a recorded day by the five rules. It trusts what clients, executors and the registry saw at their
sockets, and the conductor's word on which front ends it killed or stopped; never the front ends' own word.

Times are ms since the day's epoch; two processes' times may differ by `slack_ms`.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

FULL, MISS = 2, 8
KEPT_MS = 100.0  # what a relay kept arrives so long after it was passed on
DEAF_AFTER_MS = 1000.0  # what an executor that did not read finds when it reads again was sent earlier
INFORMED = 2 / 3  # of the work that pushed a cold executor over came from front ends told of its start


class RuleViolation(NamedTuple):
    """One violation: rule 1 to 5, when, of which request or executor, in words, the lines that show it."""

    rule: int
    at_ms: float
    request: str
    what: str
    evidence: list[dict[str, Any]]

    def as_json(self) -> dict[str, Any]:
        """For `judge --json` and reports, whose keys are an outside form."""
        return {
            "rule": self.rule,
            "at_ms": self.at_ms,
            "trigger": self.request,
            "what": self.what,
            "evidence": self.evidence,
        }


class RequestClassRule(NamedTuple):
    idempotency: str  # harmless, stamped or one-shot
    scope: str  # all, zone or cell
    window_ms: float
    mean_work_ms: float


class Figures(NamedTuple):
    """The rules' stated figures."""

    request_classes: dict[str, RequestClassRule]
    drain_grace_ms: float
    cold_multiple: float
    cold_span_ms: float
    cold_share: float  # the least of its capacity that an executor really starts with
    cold_warm_ms: float
    ration_window_ms: float
    ration_free: float
    ration_share: float
    grace_ms: float
    slack_ms: float


def figures(day: dict[str, Any]) -> Figures:
    """From a day's sections."""
    work = day["traffic"].work
    cold, ration, fleet = day["cold"], day["ration"], day["fleet"]
    return Figures(
        {
            t.name: RequestClassRule(
                t.idempotency, t.scope, t.window_ms, work[t.name].mean_ms if t.name in work else 150.0
            )
            for t in day["tariffs"]
        },
        day["rules"].drain_grace_ms,
        cold.multiple,
        cold.span_ms,
        fleet.cold_share,
        fleet.warm_ms,
        ration.window_ms,
        ration.free,
        ration.share,
        day["day"].grace_ms,
        day["day"].slack_ms,
    )


Request = tuple[str, str, int]  # front end, its process, serial there


class Book:
    """The lines of a record, by what the rules ask for."""

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        self.asks: dict[tuple[str, int, str], dict] = {}  # mark, try, front end
        self.ends: dict[tuple[str, int, str], dict] = {}  # how each ended at the client
        self.received: dict[Request, list[dict]] = defaultdict(list)
        self.by_ask: dict[tuple[str, int, str], list[dict]] = defaultdict(list)
        self.proofs: dict[tuple[Request, int], float] = {}  # attempts that never ran, and when it was said
        self.load_requests: dict[tuple[str, str], list[dict]] = defaultdict(list)
        self.told: dict[tuple[str, str], list[dict]] = defaultdict(list)
        self.ups: dict[str, list[dict]] = defaultdict(list)  # by executor
        self.fell: list[dict] = []
        self.deaf: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.kept: dict[tuple[str, str], list[float]] = defaultdict(list)  # by front end and executor
        self.spells: dict[str, list[list]] = defaultdict(list)  # front end -> [what, from, to]
        self.last_ms = 0.0
        for line in lines:
            self._enter(line)

    def _enter(self, line: dict) -> None:
        kind, t = line["k"], line["t"]
        self.last_ms = max(self.last_ms, t)
        if kind == "recv":
            request = (line["fe"], line["fp"], line["s"])
            self.received[request].append(line)
            self.by_ask[line["m"], line["r"], line["fe"]].append(line)
        elif kind == "end" and "ex" in line:
            if line["o"] in (FULL, MISS):
                self.proofs.setdefault(((line["fe"], line["fp"], line["s"]), line["n"]), t)
        elif kind == "ask":
            self.asks[line["m"], line["r"], line["fe"]] = line
        elif kind in ("answer", "lost", "unanswered", "gone", "unreachable"):
            self.ends.setdefault((f"{line['_source']}\n{line['id']}", line["r"], line["fe"]), line)
        elif kind == "order":
            self.load_requests[line["fe"], line["fp"]].append(line)
        elif kind == "told":
            self.told[line["fe"], line["fp"]].append(line)
        elif kind == "up":
            self.ups[line["ex"]].append(line)
        elif kind == "fell":
            self.fell.append(line)
        elif kind == "deaf":
            self.deaf[line["ex"]].append((t, float("inf")))
        elif kind == "kept":
            self.kept[line["fe"], line["ex"]].append(t)
        elif kind == "hears" and self.deaf[line["ex"]]:
            self.deaf[line["ex"]][-1] = (self.deaf[line["ex"]][-1][0], t + DEAF_AFTER_MS)
        elif kind in ("kill", "stop"):
            self.spells[line["fe"]].append([kind, t, float("inf")])
        elif kind in ("front started", "go on"):
            for spell in self.spells[line["fe"]]:
                if spell[2] == float("inf"):
                    spell[2] = t

    def late_by_itself(self, line: dict) -> bool:
        """Whether this arrival says nothing of when it was sent: its executor was not reading, or the way to
        it was cut or slow on purpose."""
        kept = self.kept.get((line["fe"], line["ex"]), ())
        if any(at - KEPT_MS <= line["t"] <= at + KEPT_MS for at in kept):
            return True
        return any(a <= line["t"] <= b for a, b in self.deaf.get(line["ex"], ()))

    def excused(self, front: str, since: float, until: float) -> bool:
        """Whether the front end was killed or stood stopped by the conductor within this time."""
        return any(a <= until and b >= since for _, a, b in self.spells.get(front, ()))


def sent(line: dict[str, Any]) -> float:
    """When it was sent, where the record tells (an emulated network may keep it long), or when it came."""
    return line.get("sent", line["t"])


def judge(lines: Iterable[dict[str, Any]], told: Figures) -> list[RuleViolation]:
    """All breaches in a record, by time; an empty list if the rules were kept."""
    book = Book(lines)
    faults = [
        *_answers(book, told),
        *_effects(book, told),
        *_drains(book, told),
        *_cold(book, told),
        *_ration(book, told),
    ]
    return sorted(faults, key=lambda f: (f.at_ms, f.rule))


def _name(key: tuple[str, int, str]) -> str:
    mark, turn, front = key
    return f"{mark.replace(chr(10), '#')} try {turn} at {front}"


def _answers(book: Book, told: Figures) -> Iterable[RuleViolation]:
    """Rule 1: one final answer in time for each request taken, nothing sent after."""
    for key, ask in book.asks.items():
        end = book.ends.get(key)
        due = ask["t"] + ask["left"] + told.grace_ms
        if end is None:
            if book.last_ms > due and not book.excused(key[2], ask["t"], due):
                yield RuleViolation(1, due, _name(key), "no answer and no end of it at the client", [ask])
            continue
        if end["k"] in ("unanswered", "lost"):
            what = "never answered" if end["k"] == "unanswered" else "its connection ended without an answer"
            if not book.excused(key[2], ask["t"], end["t"] + told.slack_ms):
                yield RuleViolation(1, end["t"], _name(key), what, [ask, end])
        elif end["k"] == "answer" and end["t"] > due and not book.excused(key[2], ask["t"], end["t"]):
            yield RuleViolation(
                1, end["t"], _name(key), f"answered {end['t'] - due:.0f} ms too late", [ask, end]
            )
        if end["k"] in ("answer", "gone"):
            for line in book.by_ask.get(key, ()):
                if (
                    sent(line) > end["t"] + told.slack_ms
                    and not book.late_by_itself(line)
                    and not book.excused(key[2], end["t"], sent(line))
                ):
                    yield RuleViolation(
                        1,
                        line["t"],
                        _name(key),
                        f"transmission {line['n']} reached {line['ex']} "
                        f"{sent(line) - end['t']:.0f} ms after the final answer",
                        [ask, end, line],
                    )


def _effects(book: Book, told: Figures) -> Iterable[RuleViolation]:
    """Rule 2: no effect twice, and no reject that promises too much."""
    for request, some in book.received.items():
        request_class = told.request_classes[some[0]["f"]]
        if request_class.idempotency == "harmless":
            continue
        some = sorted(some, key=lambda line: line["n"])
        key = (some[0]["m"], some[0]["r"], request[0])
        for i, earlier in enumerate(some):
            proved = book.proofs.get((request, earlier["n"]), float("inf"))
            for later in some[i + 1 :]:
                if proved <= sent(later):
                    continue
                if request_class.idempotency == "one-shot":
                    yield RuleViolation(
                        2,
                        later["t"],
                        _name(key),
                        f"one-shot: transmission {later['n']} though "
                        f"{earlier['n']} may have run at {earlier['ex']}",
                        [earlier, later],
                    )
                elif not _same_group(book, request_class.scope, earlier["ex"], later["ex"]):
                    yield RuleViolation(
                        2,
                        later["t"],
                        _name(key),
                        f"stamped: transmission {later['n']} at {later['ex']}, "
                        f"which does not drop repeats of {earlier['ex']}",
                        [earlier, later],
                    )
                elif sent(later) > earlier[
                    "t"
                ] + request_class.window_ms + told.slack_ms and not book.late_by_itself(later):
                    yield RuleViolation(
                        2,
                        later["t"],
                        _name(key),
                        f"stamped: transmission {later['n']} "
                        f"{later['t'] - earlier['t']:.0f} ms after {earlier['n']}, whose mark is forgotten",
                        [earlier, later],
                    )
        end = book.ends.get(key)
        if (
            end is not None
            and end["k"] == "answer"
            and end["o"] == "nacked"
            and (request_class.idempotency == "one-shot" or request_class.scope != "all")
        ):
            for line in some:
                if book.proofs.get((request, line["n"]), float("inf")) > end["t"]:
                    yield RuleViolation(
                        2,
                        end["t"],
                        _name(key),
                        f"{request_class.idempotency}: nacked though transmission {line['n']} "
                        f"may have run at {line['ex']}",
                        [line, end],
                    )


def _same_group(book: Book, scope: str, one: str, other: str) -> bool:
    if scope == "all" or one == other:
        return True
    return book.ups[one][0][scope] == book.ups[other][0][scope]


def _drains(book: Book, told: Figures) -> Iterable[RuleViolation]:
    """Rule 3: past the grace nothing new to an executor told to drain or be gone."""
    ended: dict[tuple[str, str], dict[str, list[tuple[float, float]]]] = {}
    for who, lists in book.told.items():
        spells: dict[str, list[tuple[float, float]]] = defaultdict(list)
        since: dict[str, float] = {}
        known: set[str] = set()
        for line in lists:
            stages = {name: stage for name, stage, _ in line["lines"]}
            if line["full"]:
                stages.update((name, "gone") for name in known - set(stages))
            known |= set(stages)
            for name, stage in stages.items():
                if stage == "ready" and name in since:
                    spells[name].append((since.pop(name), line["t"]))
                elif stage != "ready":
                    since.setdefault(name, line["t"])
        for name, t in since.items():
            spells[name].append((t, float("inf")))
        ended[who] = spells
    sends = [line for some in book.received.values() for line in some]
    sends += [line for some in book.load_requests.values() for line in some if line["c"] > 0]
    for line in sends:
        for begin, end in ended.get((line["fe"], line["fp"]), {}).get(line["ex"], ()):
            past = sent(line) - begin - told.drain_grace_ms
            if past > told.slack_ms and sent(line) < end and not book.late_by_itself(line):
                what = "an order to load" if line["k"] == "order" else f"transmission {line['n']}"
                yield RuleViolation(
                    3,
                    line["t"],
                    f"{line['ex']} from {line['fe']}",
                    f"{what} {past:.0f} ms past the grace",
                    [line],
                )


def _cold(book: Book, told: Figures) -> Iterable[RuleViolation]:
    """Rule 4: what all front ends together send a cold executor stays under its multiple."""
    if told.cold_multiple <= 0.0 or told.cold_span_ms <= 0.0:
        return
    informed: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)  # (front, executor)
    for (front, _), lists in book.told.items():
        for line in lists:
            for name, stage, started in line["lines"]:
                if stage == "ready" and started:
                    informed[front, name].append((line["t"], started))
    sends: dict[tuple[str, str], list[dict]] = defaultdict(list)
    for some in book.received.values():
        for line in some:
            sends[line["ex"], line["p"]].append(line)
    for ups in book.ups.values():
        for up in ups:
            if up["cold"]:
                yield from _push(
                    up, sorted(sends[up["ex"], up["p"]], key=lambda x: x["t"]), informed, told, book
                )


def _push(up: dict, sends: list[dict], informed: dict, told: Figures, book: Book) -> Iterable[RuleViolation]:
    begin, total, knowing = 0, 0.0, 0.0
    works = []
    fell = [line for line in book.fell if line["ex"] == up["ex"] and line["p"] == up["p"]]
    for i, line in enumerate(sends):
        age = line["t"] - up["t"]
        if age >= told.cold_warm_ms:
            break
        work = told.request_classes[line["f"]].mean_work_ms
        knows = any(t <= line["t"] for t, _ in informed.get((line["fe"], up["ex"]), ()))
        works.append((work, knows))
        total, knowing = total + work, knowing + work * knows
        while sends[begin]["t"] < line["t"] - told.cold_span_ms:
            total, knowing = total - works[begin][0], knowing - works[begin][0] * works[begin][1]
            begin += 1
        present = up["cap"] * (told.cold_share + (1.0 - told.cold_share) * max(0.0, age) / told.cold_warm_ms)
        room = told.cold_multiple * present * told.cold_span_ms
        if total > room and knowing >= INFORMED * total:
            yield RuleViolation(
                4,
                line["t"],
                up["ex"],
                f"{total:.0f} ms of work within {told.cold_span_ms:.0f} ms, room for "
                f"{room:.0f}, {age:.0f} ms after its start{'; it fell' if fell else ''}",
                [up, *sends[begin : i + 1][-10:]],
            )
            return


def _ration(book: Book, told: Figures) -> Iterable[RuleViolation]:
    """Rule 5: orders to load within the window stay under the few plus the share of requests taken."""
    if told.ration_window_ms <= 0.0:
        return
    taken: dict[str, list[float]] = defaultdict(list)
    for key, ask in book.asks.items():
        end = book.ends.get(key)
        if end is None or (end["k"] != "unreachable" and not (end["k"] == "answer" and not end["taken"])):
            taken[key[2]].append(ask["t"])
    for times in taken.values():
        times.sort()
    for (front, _), lines in book.load_requests.items():
        lines = [line for line in lines if line["c"] > 0 and not book.late_by_itself(line)]
        lines.sort(key=sent)
        times = [sent(line) for line in lines]
        asked = taken.get(front, [])
        for i, line in enumerate(lines):
            t, slack = sent(line), told.slack_ms
            count = i + 1 - bisect_right(times, t - told.ration_window_ms + 2 * slack)
            some = bisect_right(asked, t + slack) - bisect_left(asked, t - told.ration_window_ms - slack)
            if count > told.ration_free + told.ration_share * some:
                yield RuleViolation(
                    5,
                    t,
                    front,
                    f"{count} orders to load within {told.ration_window_ms:.0f} ms, {some} triggers taken",
                    [line],
                )
                break
