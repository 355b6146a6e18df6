"""Judges a record by what must hold of the front ends as a fleet. It goes by what each process noted when it
did it, and by the conductor's word on whom it killed, stopped and started; it shares no code with what it
judges.

Times are ms since the day's epoch; two processes' times may differ by SLACK_MS.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

SLACK_MS = 25.0  # two processes of one machine, and a line's way into its file
STARTING_MS = 2000.0  # a refusal from before it listened is learnt so late at most
EXCUSED_MS = 15_000.0  # one that stood still or was cut off may be held failed for so long after
FAILED_WITHIN_MS = 20_000.0  # one killed is held failed by all that live
LATE_BORNE_MS, LOSS_BORNE = 400.0, 0.3  # one way, and of the datagrams: nobody is failed falsely under these
ROUNDING = 1e-6


class Violation(NamedTuple):
    """Which statement, when, who, in words, and the lines that show it."""

    statement: str
    at_ms: float
    who: str
    what: str
    evidence: list[dict[str, Any]]

    def as_json(self) -> dict[str, Any]:
        """For `judge --json` and reports, whose keys are an outside form."""
        return {
            "statement": self.statement,
            "at_ms": self.at_ms,
            "who": self.who,
            "what": self.what,
            "evidence": self.evidence,
        }


class Spell(NamedTuple):
    """From when until when."""

    begin: float
    end: float


class Life:
    """One process of a front end, as the conductor saw it and as it noted itself."""

    def __init__(self, name: str, begin: float) -> None:
        self.name, self.begin, self.end = name, begin, float("inf")
        self.killed = False
        self.stops: list[Spell] = []
        self.lines: list[dict[str, Any]] = []

    def stopped(self, t: float, after: float = 0.0) -> bool:
        return any(s.begin <= t <= s.end + after for s in self.stops)


class Cuts:
    """The day's own word on who could not reach whom, and when the ways were worse than membership bears."""

    def __init__(self, faults: Iterable[Any], size: int) -> None:
        self.spells: list[tuple[set[int], set[int], bool, Spell]] = []
        self.strains: list[tuple[float, float, Spell]] = []  # ms late, share lost
        every = set(range(size))
        for x in faults:
            if getattr(x, "to", "members") != "members":
                continue
            begin = x.at_s * 1e3
            spell = Spell(begin, begin + x.len_s * 1e3 if x.len_s else float("inf"))
            if x.kind in ("delay", "loss"):
                late = x.kind == "delay"
                self.strains.append(((x.size + x.extra) * late, x.size * (not late), spell))
            if x.kind in ("cut", "one way", "flap"):
                some, others = set(x.on) or every, set(x.others) or every - set(x.on) or every
                self.spells.append((some, others, x.kind == "one way", spell))

    def between(self, one: str, other: str, t: float, after: float) -> bool:
        """Whether either could have lost the other, at t or so long before."""
        a, b = (int(name.rpartition("-")[2]) for name in (one, other))
        return any(
            s.begin - SLACK_MS <= t <= s.end + after and ((a in p and b in q) or (a in q and b in p))
            for p, q, _, s in self.spells
        )

    def ever(self, t: float, after: float) -> bool:
        """Whether anybody could have lost anybody: news of it travels."""
        if any(s.begin - SLACK_MS <= t <= s.end + after for _, _, _, s in self.spells):
            return True
        now = [x for x in self.strains if x[2].begin <= t <= x[2].end + after]
        return sum(x[0] for x in now) > LATE_BORNE_MS or sum(x[1] for x in now) > LOSS_BORNE


def lives(lines: Iterable[dict[str, Any]]) -> list[Life]:
    """All processes of the record, with what each noted."""
    found: list[Life] = []
    running: dict[str, Life] = {}
    noted: dict[str, list[dict]] = defaultdict(list)
    order: dict[str, list[Life]] = defaultdict(list)
    for line in lines:
        kind, t = line["k"], line["t"]
        if line.get("_file", "").startswith("fleet-"):
            noted[line["_file"]].append(line)
        elif kind == "front started":
            running[line["fe"]] = life = Life(line["fe"], t)
            found.append(life)
            order[line["fe"]].append(life)
        elif kind in ("kill", "leave", "stop", "go on", "front ended") and line["fe"] in running:
            life = running[line["fe"]]
            if kind == "stop":
                life.stops.append(Spell(t, float("inf")))
            elif kind == "go on" and life.stops:
                life.stops[-1] = life.stops[-1]._replace(end=t)
            elif kind in ("kill", "front ended"):
                life.end, life.killed = min(life.end, t), life.killed or kind == "kill"
    for file in sorted(noted, key=lambda name: noted[name][0]["t"]):
        number = file.split("-")[1]
        life = next((x for x in order[f"front-{number}"] if not x.lines), None)
        if life is not None:
            life.lines = noted[file]
    return found


def judge_day(lines: Iterable[dict[str, Any]], day: dict[str, Any]) -> list[Violation] | None:
    """`judge` by a day's sections; None where its front ends don't know each other."""
    if not (day["fleet"].members or day["fleet_troubles"]):
        return None
    return judge(lines, day["fleet_troubles"], day["fleet"].fronts, day["day"].length_s * 1e3)


def judge(
    lines: Iterable[dict[str, Any]], faults: Iterable[Any], size: int, last_ms: float
) -> list[Violation]:
    """All breaches up to `last_ms`, by time. `faults` are the day's between front ends."""
    all_ = lives(lines)
    cuts = Cuts(faults, size)
    breaches = [
        *_parts(all_, size, last_ms),
        *_ends(all_, size, last_ms),
        *_false(all_, cuts, last_ms),
        *_found(all_, cuts, last_ms),
        *_agreed(all_, cuts, last_ms),
    ]
    return sorted(breaches, key=lambda b: b.at_ms)


def _parts(all_: list[Life], size: int, last_ms: float) -> Iterable[Violation]:
    """At no moment do the parts in use come to more than the whole."""
    changes: list[tuple[float, int, float, dict[str, Any]]] = []  # when, whose, the share from then on
    for i, life in enumerate(all_):
        held = [line for line in life.lines if line["k"] == "part"]
        for line, after in zip(held, [*held[1:], None], strict=False):
            # the first SLACK_MS of more may be seen too early
            begin = line["t"] + SLACK_MS * (line["share"] > 1.0 / size)
            if after is None or begin < after["t"]:
                changes.append((begin, i, line["share"], line))
            end = line["t"] + line["left"] if line["left"] is not None else float("inf")
            if after is None or end < after["t"]:
                changes.append((end, i, 1.0 / size if line["share"] > 1.0 / size else line["share"], line))
        for spell in life.stops:
            changes.append((spell.begin, i, 0.0, {}))
            again = [line for line in held if line["t"] <= spell.end]
            if again and spell.end < life.end:  # it goes on with what it notes next; until then with its own
                share = again[-1]["share"]
                left = again[-1]["left"]
                over = left is not None and again[-1]["t"] + left < spell.end
                changes.append((spell.end, i, min(share, 1.0 / size) if over else share, again[-1]))
        if life.end < float("inf"):
            changes.append((life.end, i, 0.0, {}))
    changes.sort(key=lambda c: c[:2])
    shares: dict[int, float] = {}
    lines_of: dict[int, dict] = {}
    at = 0
    while at < len(changes):
        t = changes[at][0]
        while at < len(changes) and changes[at][0] <= t:
            _, i, share, line = changes[at]
            alive = all_[i].end > t and not any(s.begin <= t < s.end for s in all_[i].stops)
            shares[i], lines_of[i] = (share if alive else 0.0), line
            at += 1
        total = sum(shares.values())
        if total > 1.0 + ROUNDING and t <= last_ms:
            who = [i for i, share in shares.items() if share > 0.0]
            names = ", ".join(f"{all_[i].name} {shares[i]:.3f}" for i in who)
            yield Violation(
                "parts", t, names, f"parts in use come to {total:.3f}", [lines_of[i] for i in who]
            )
            return


def _ends(all_: list[Life], size: int, last_ms: float) -> Iterable[Violation]:
    """Nothing is used past its end: each use is of the part told last, or of the own share once that ran
    out."""
    own = 1.0 / size
    for life in all_:
        part: dict[str, Any] | None = None
        for line in life.lines:
            if line["k"] == "part":
                part = line
            elif line["k"] == "use" and line["t"] <= last_ms and line["share"] > own + ROUNDING:
                over = part is None or (
                    part["left"] is not None and line["t"] > part["t"] + part["left"] + 1.0
                )
                if over or line["share"] > part["share"] + ROUNDING:
                    what = f"used {line['share']:.3f} of the rations" + (" past its end" if over else "")
                    yield Violation("ends", line["t"], life.name, what, [part or {}, line])
                    break


def _false(all_: list[Life], cuts: Cuts, last_ms: float) -> Iterable[Violation]:
    """Nobody holds one failed that lives, was not stopped, and could be reached."""
    for life in all_:
        for line in life.lines:
            if line["k"] != "held" or line["what"] != "failed" or line["t"] > last_ms:
                continue
            t, name = line["t"], line["member"]
            there = [x for x in all_ if x.name == name and x.begin <= t < x.end]
            if not there or (
                there[0].begin > t - EXCUSED_MS and len([x for x in all_ if x.name == name]) > 1
            ):
                continue
            if not there[0].lines or t < there[0].lines[0]["t"] + STARTING_MS:
                continue  # a process that has been started refuses its port until it listens
            excused = there[0].stopped(t, EXCUSED_MS) or life.stopped(t, EXCUSED_MS)
            if not excused and not cuts.ever(t, EXCUSED_MS):
                yield Violation("false", t, life.name, f"holds {name} failed, which lives", [line])


def _found(all_: list[Life], cuts: Cuts, last_ms: float) -> Iterable[Violation]:
    """One killed for good is held failed by all that live."""
    for dead in all_:
        until = dead.end + FAILED_WITHIN_MS
        later = [x for x in all_ if x.name == dead.name and x.begin > dead.end]
        if not dead.killed or until > last_ms or later:
            continue
        for life in all_:
            if life.begin > dead.end or life.end <= until:
                continue
            if any(s.begin <= until and s.end >= dead.end for s in life.stops):
                continue
            if cuts.between(life.name, dead.name, until, FAILED_WITHIN_MS):
                continue
            state = _state(life, dead.name, until)
            if state not in ("failed", "left"):
                what = f"holds {dead.name} {state or 'unheard'} {FAILED_WITHIN_MS:.0f} ms after it was killed"
                yield Violation("found", until, life.name, what, [])


def _agreed(all_: list[Life], cuts: Cuts, last_ms: float) -> Iterable[Violation]:
    """None that lives is held failed for good: at the end, all that live and could hear each other say so."""
    living = [x for x in all_ if x.begin < last_ms - EXCUSED_MS and x.end > last_ms]
    for one in living:
        for other in living:
            if one is other or one.stopped(last_ms, EXCUSED_MS) or other.stopped(last_ms, EXCUSED_MS):
                continue
            if cuts.between(one.name, other.name, last_ms, EXCUSED_MS):
                continue
            state = _state(one, other.name, last_ms)
            if state not in ("alive", "suspected"):
                what = f"still holds {other.name} {state or 'unheard'}, which lives"
                yield Violation("agreed", last_ms, one.name, what, [])


def _state(life: Life, name: str, t: float) -> str:
    """What a process held a member for at that time; empty if nothing."""
    state = ""
    for line in life.lines:
        if line["t"] > t:
            break
        if line["k"] == "held" and line["member"] == name:
            state = line["what"]
    return state
