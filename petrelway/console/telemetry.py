"""What the host saw, counted in windows of bounded size. Pure; the host calls it, nobody is asked."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from hdrh.histogram import HdrHistogram

from .sketch import TopNames

SECONDS, MINUTES = 60, 60  # windows kept
STORIES = 3000  # requests whose decisions are remembered
EVENTS_BOUND = 40  # of one request
NAMES_BOUND = 600  # of one dimension; more are counted together as (others)
FUNCTIONS_ROOM = 512
LATENCY_SLOTS, SLOT_MS = 12, 300_000.0  # histograms of five minutes each
LATENCY_MOST_MS = 120_000
CHANGES = 500  # lines of the log of changes
OTHERS = "(others)"


class Story:
    """What happened to one request: times in ms since it was taken."""

    __slots__ = ("answer", "events", "function", "mark", "request_class", "taken_ms", "tenant", "took_ms")

    def __init__(self, mark: str, request_class: str, tenant: str, function: str, taken_ms: float) -> None:
        self.mark, self.request_class, self.tenant, self.function = mark, request_class, tenant, function
        self.taken_ms = taken_ms
        self.events: list[tuple[float, str, str, str]] = []  # when, what, executor, detail
        self.answer, self.took_ms = "", 0.0

    def add(self, now: float, what: str, executor: str = "", detail: str = "") -> None:
        if len(self.events) < EVENTS_BOUND:
            self.events.append((round(now - self.taken_ms, 1), what, executor, detail))


class Windows:
    """Counts by (dimension, name, field) for the last minute by seconds and the last hour by minutes."""

    def __init__(self, now: float) -> None:
        self.seconds: deque[tuple[int, Counter]] = deque([(int(now // 1000), Counter())], SECONDS)
        self.minutes: deque[tuple[int, Counter]] = deque([(int(now // 60_000), Counter())], MINUTES)
        self.names: dict[str, set[str]] = {}
        self.closed: deque[tuple[int, Counter]] = deque()  # seconds that are over, not yet in their minutes

    def name(self, dimension: str, name: str) -> str:
        known = self.names.setdefault(dimension, set())
        if name in known:
            return name
        if len(known) >= NAMES_BOUND:
            return OTHERS
        known.add(name)
        return name

    def add(self, now: float, keys: list[tuple[str, str, str]]) -> None:
        at = int(now // 1000)
        if at > self.seconds[-1][0]:  # a clock that steps back counts on in the present window
            self._close(at)
        counts = self.seconds[-1][1]
        for key in keys:
            counts[key] += 1

    def _close(self, at: int) -> None:
        """The present second is over. Danger: where nobody calls `roll`, what waits for it would pile up."""
        self.closed.append(self.seconds[-1])
        self.seconds.append((at, Counter()))
        while len(self.closed) >= SECONDS:
            self.roll()

    def roll(self) -> bool:
        """Put one second that is over into its minute; whether there was one. For the background."""
        if not self.closed:
            return False
        second, counts = self.closed.popleft()
        minute = second // 60
        begun = minute > self.minutes[-1][0]
        if begun:
            self.minutes.append((minute, Counter()))
        self.minutes[-1][1].update(counts)
        if begun:
            self._forget(minute)
        return True

    def _forget(self, minute: int) -> None:
        """Danger: deploys bring new names for ever; those that no window holds give up their places."""
        while self.minutes[0][0] <= minute - MINUTES:
            self.minutes.popleft()
        self.names.clear()
        for _, counts in (*self.minutes, *self.closed, self.seconds[-1]):
            for dimension, name, _ in counts:
                if name != OTHERS:
                    self.names.setdefault(dimension, set()).add(name)

    def over(self, now: float, seconds: int) -> Counter:
        """The sums of the last so many seconds, or of whole minutes where more than a minute is asked."""
        total: Counter = Counter()
        present = int(now // 1000)
        if seconds <= 60:
            for at, counts in self.seconds:
                if at > present - seconds:
                    total.update(counts)
            return total
        for at, counts in self.minutes:
            if at > present // 60 - seconds // 60:
                total.update(counts)
        for at, counts in (*self.closed, self.seconds[-1]):
            if at > present - seconds:
                total.update(counts)
        return total

    def series(self, now: float, field: str, dimension: str = "all", name: str = "") -> list[int]:
        """One field by seconds for the last minute, oldest first."""
        by_second = dict(self.seconds)
        last = max(int(now // 1000), self.seconds[-1][0])
        return [
            by_second.get(at, Counter())[dimension, name, field] for at in range(last - SECONDS + 1, last + 1)
        ]


class Telemetry:
    """One front end's counts, latencies, hot functions, stories and changes."""

    def __init__(self, now: float, latency_objective_ms: dict[str, float]) -> None:
        self.latency_objective_ms = latency_objective_ms
        self.windows = Windows(now)
        self.totals: Counter[str] = Counter()
        self.functions = TopNames(FUNCTIONS_ROOM)
        self.warmth: dict[str, Counter] = {}  # of the functions that are counted
        self.latency: dict[str, deque[tuple[int, HdrHistogram]]] = {
            t: deque((), LATENCY_SLOTS) for t in latency_objective_ms
        }
        self.stories: deque[Story] = deque((), STORIES)
        self.open: dict[int, Story] = {}  # by the host's serial
        self.changes: deque[tuple[float, str, str]] = deque((), CHANGES)

    def configuration_changed(self, latency_objective_ms: dict[str, float]) -> None:
        self.latency_objective_ms = latency_objective_ms
        for request_class in latency_objective_ms:
            self.latency.setdefault(request_class, deque((), LATENCY_SLOTS))

    # -- what the host calls

    def taken(
        self, now: float, serial: int, mark: str, request_class: str, tenant: str, function: str
    ) -> None:
        story = Story(mark, request_class, tenant, function, now)
        self.open[serial] = story
        self.stories.append(story)
        gone = self.functions.add(function)
        if gone is not None:
            self.warmth.pop(gone, None)
        self.totals["taken"] += 1
        self._count(now, story, "taken")

    def decided(self, now: float, serial: int, what: str, executor: str, detail: str) -> None:
        if (story := self.open.get(serial)) is not None:
            story.add(now, what, executor, detail)

    def ended(self, now: float, serial: int, executor: str, zone: str, outcome: str, warmth: str) -> None:
        name = self.windows.name("executor", executor)
        keys = [("executor", name, outcome), ("hall", zone, outcome)]
        self.totals[f"transmission {outcome}"] += 1
        story = self.open.get(serial)
        if outcome == "fulfilled":
            keys += [("executor", name, warmth), ("hall", zone, warmth), ("all", "", f"copy {warmth}")]
            if story is not None and story.function in self.functions.counts:
                self.warmth.setdefault(story.function, Counter())[warmth] += 1
        self.windows.add(now, keys)
        if story is not None:
            story.add(now, outcome, executor, warmth if outcome == "fulfilled" else "")

    def answered(self, now: float, serial: int, kind: str) -> None:
        """Also `gone`, when the client left."""
        story = self.open.get(serial)
        if story is None or story.answer:
            return
        story.answer, story.took_ms = kind, now - story.taken_ms
        story.add(now, kind)
        self.totals[kind] += 1
        in_time = kind == "fulfilled" and story.took_ms <= self.latency_objective_ms[story.request_class]
        self._count(now, story, kind, *(["in time"] if in_time else []))
        if kind == "fulfilled":
            self._latency(now, story.request_class, story.took_ms)

    def released(self, serial: int) -> None:
        self.open.pop(serial, None)

    def changed(self, now: float, what: str, detail: str) -> None:
        self.changes.append((now, what[:200], detail[:500]))

    # -- what pages read

    def service(self, now: float, seconds: int) -> dict[str, Any]:
        """Share in time and counts, in all and by request class, tenant, zone and executor."""
        counts = self.windows.over(now, seconds)
        found: dict[str, Any] = {}
        for (dimension, name, field), count in counts.items():
            found.setdefault(dimension, {}).setdefault(name, {})[field] = count
        for names in found.values():
            for fields in names.values():
                if "taken" in fields or "in time" in fields:
                    fields["share in time"] = round(
                        fields.get("in time", 0) / max(1, self._finished(fields)), 4
                    )
        return found

    @staticmethod
    def _finished(fields: dict[str, int]) -> int:
        return sum(fields.get(kind, 0) for kind in ("fulfilled", "nacked", "broken off", "gone"))

    def quantiles(self, now: float, request_class: str) -> dict[str, float]:
        """Of succeeded answers over the last hour at the most, in ms."""
        merged = HdrHistogram(1, LATENCY_MOST_MS, 2)
        for slot, histogram in self.latency[request_class]:
            if slot > int(now // SLOT_MS) - LATENCY_SLOTS:
                merged.add(histogram)
        if not merged.get_total_count():
            return {}
        return {f"p{q:g}": float(merged.get_value_at_percentile(q)) for q in (50, 90, 99, 99.9)}

    def hot(self, count: int) -> list[dict[str, Any]]:
        return [
            {"function": h.name, "count": h.count, "error": h.error, **self.warmth.get(h.name, {})}
            for h in self.functions.top(count)
        ]

    def _latency(self, now: float, request_class: str, took_ms: float) -> None:
        slots, at = self.latency[request_class], int(now // SLOT_MS)
        if not slots or slots[-1][0] < at:
            slots.append((at, HdrHistogram(1, LATENCY_MOST_MS, 2)))
        slots[-1][1].record_value(max(1, min(LATENCY_MOST_MS, round(took_ms))))

    def _count(self, now: float, story: Story, *fields: str) -> None:
        tenant = self.windows.name("customer", story.tenant)
        keys = []
        for field in fields:
            keys += [
                ("all", "", field),
                ("tariff", story.request_class, field),
                ("customer", tenant, field),
            ]
        self.windows.add(now, keys)
