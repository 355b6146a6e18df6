"""Reads a bench's day file and makes a day of ours of it, scaled to this machine; says what it leaves out.

The file is JSON; its times are microseconds. Read are fleet, zones, clients, request classes, tenants, loads
and faults.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from ..settings.reading import FILE_BOUND, SettingsError, SettingsProblem

RATE_BOUND = 400.0  # requests a second that a rehearsal on one machine plays at the most
FRONTS_BOUND, EXECUTORS_BOUND = 8, 60
LENGTH_BOUND_S = 300.0
EFFECTS = {"safe": "harmless", "keyed": "stamped", "unsafe": "one-shot"}
SCOPES = {"all": "all", "zone": "hall", "cell": "cell"}
ALWAYS_LEFT_OUT = (
    "net: delays between halls (all is on loopback)",
    "prices and weights of the score",
    "connections' caps and handshakes",
    "probes' cost",
    "functions that give way to others, and calls on timers",
    "traffic's shape over the day",
)


class Tree:
    """A part of the file that names the path of what it lacks."""

    def __init__(self, file: str, value: Any, path: str = "") -> None:
        self.file, self.value, self.path = file, value, path

    def __getitem__(self, key: str | int) -> Tree:
        path = f"{self.path}[{key}]" if isinstance(key, int) else f"{self.path}.{key}".lstrip(".")
        try:
            return Tree(self.file, self.value[key], path)
        except (KeyError, IndexError, TypeError) as error:
            raise SettingsError(
                self.file, [SettingsProblem(path, "nothing", "a bench's day file, which has it")]
            ) from error

    def get(self, key: str, default: Any) -> Any:
        found = self.value.get(key, default) if isinstance(self.value, dict) else default
        return default if found is None else found

    def number(self) -> float:
        if isinstance(self.value, bool) or not isinstance(self.value, (int, float)):
            raise SettingsError(
                self.file, [SettingsProblem(self.path, json.dumps(self.value)[:60], "a number")]
            )
        return float(self.value)

    def ms(self) -> float:
        return self.number() / 1e3

    def each(self) -> list[Tree]:
        if not isinstance(self.value, list):
            raise SettingsError(self.file, [SettingsProblem(self.path, type(self.value).__name__, "a list")])
        return [self[i] for i in range(len(self.value))]


def convert(file: str, scale: float) -> tuple[dict[str, Any], list[str]]:
    """The tree of a day for `settings.days.check_day`, and what was left out. Raises SettingsError."""
    if not 0.0 < scale <= 1.0:
        raise SettingsError(file, [SettingsProblem("--scale", f"{scale:g}", "more than 0, 1 at most")])
    try:
        raw = Path(file).read_bytes()
        if len(raw) > FILE_BOUND:
            raise SettingsError(
                file, [SettingsProblem("(file)", f"{len(raw)} bytes", f"{FILE_BOUND} at most")]
            )
        day = Tree(file, json.loads(raw))
    except OSError as error:
        raise SettingsError(
            file, [SettingsProblem("(file)", error.strerror or "", "a file that can be read")]
        ) from error
    except ValueError as error:
        raise SettingsError(
            file, [SettingsProblem("(file)", f"no JSON ({error})", "a bench's day file")]
        ) from error
    left_out = list(ALWAYS_LEFT_OUT)
    tree = _fleet(day, scale, left_out)
    tree["troubles"] = _faults(day, tree["fleet"]["executors"], tree["fleet"]["fronts"], left_out)
    return tree, left_out


def _fleet(day: Tree, scale: float, left_out: list[str]) -> dict[str, Any]:
    zones = [str(z.value) for z in day["zones"].each()]
    tier, fam = day["tiers"][0], day["fam"]
    if len(day["tiers"].each()) > 1:
        left_out.append("tiers after the first")
    running = [s for s in day["servers"].each() if s["up"].value]
    executors = min(EXECUTORS_BOUND, max(len(zones), round(len(running) * scale)))
    fronts = min(FRONTS_BOUND, max(1, round(len(day["balancers"].each()) * scale)))
    kinds, cores, speeds = [], 0.0, 0.0
    for i, kind in enumerate(tier["kinds"].each()):
        of = [s["speed"].number() for s in running if s["kind"].value == i] or [1.0]
        count = kind["cores"].number()
        share = sum(1 for s in running if s["kind"].value == i) / max(1, len(running))
        cores, speeds = cores + share * count, speeds + share * count * sum(of) / len(of)
        slots = max(1, round(kind["slots"].number() / count))
        memory = fam["memory"][i].number()
        kinds.append(
            {
                "name": str(kind["name"].value),
                "share": share,
                "cores": int(count),
                "speed": [min(of), max(of)],
                "memory_mb": memory,
                "slots_per_core": slots,
                "queue": int(kind["queue"].number()),
            }
        )
    request_classes, work, shares = [], {}, {}
    for c in day["classes"].each():
        name = str(c["name"].value)
        idempotency = EFFECTS.get(c["effect"].value)
        if idempotency is None:
            raise SettingsError(
                c.file, [SettingsProblem(c["effect"].path, repr(c["effect"].value), ", ".join(EFFECTS))]
            )
        request_classes.append(
            {
                "name": name,
                "effect": idempotency,
                "scope": SCOPES.get(c.get("group", "all"), "all"),
                "window_ms": c["window"].ms(),
                "quoted_ms": c["aim"].ms(),
                "outer_ms": c["deadline"].ms(),
                "worth": c.get("worth", 1.0),
                "late_share": c.get("late_worth", 0.0),
            }
        )
        work[name] = {
            "mean_ms": c["work"].ms(),
            "cv": min(5.0, c.get("cv", 0.7)),
            "io_ms": c.get("io", 0.0) / 1e3,
        }
        shares[name] = min(1.0, c.get("share", 1.0))
        if c.get("stream", False):
            left_out.append(f"streams of {name}")
    mean_work = sum(shares[n] * work[n]["mean_ms"] for n in work) / max(1e-9, sum(shares.values()))
    full = executors * speeds * 1e3 / max(1.0, mean_work)  # requests a second that fill the cores
    rate = day["traffic"]["load"].number() * full
    if rate > RATE_BOUND:
        left_out.append(f"traffic over {RATE_BOUND:g} triggers a second (asked {rate:.0f})")
        rate = RATE_BOUND
    sorts = fam["sorts"].each()
    memory = sum(s["memory"].number() for s in sorts) / len(sorts)
    load = sum(s["load"].ms() for s in sorts) / len(sorts)
    count = round(fam["catalog"].number() * fam["spare"].number() * cores * executors / max(1.0, memory))
    tenants = [
        {"name": str(t["name"].value), "portion": t["share"].number(), "rate": t.get("quota", 0.0) * full}
        for t in day["tenants"].each()
    ]
    length = day["length"].number() / 1e6
    if length > LENGTH_BOUND_S:
        left_out.append(f"what comes after {LENGTH_BOUND_S:g} s")
    clients, discovery, allow = day["clients"], day["discovery"], day["allow"]
    if discovery.get("ask", False):
        left_out.append("a list that must be asked for (ours pushes)")
    cold_from = [k["cold_from"].number() for k in tier["kinds"].each()]
    cold = [k["cold"].ms() for k in tier["kinds"].each()]
    return {
        "day": {"length_s": min(length, LENGTH_BOUND_S), "seed": int(day.get("noise", 1)) % 1_000_000},
        "fleet": {
            "halls": zones,
            "executors": executors,
            "fronts": fronts,
            "kinds": kinds,
            "loads_at_once": int(fam["loads_at_once"].number()),
            "eager": bool(fam["eager"].value),
            "keep_ms": fam["keep"].ms(),
            "load_fail": fam["load_fail"].number(),
            "fail_says": "miss" if fam["fail_is_miss"].value else "error",
            "images": fam["disk"].number() > 0.0,
            "cold_share": min(cold_from),
            "warm_ms": max(cold),
        },
        "functions": {
            "count": max(4, count),
            "zipf": min(4.0, fam["zipf"].number()),
            "memory_mb": [0.6 * memory, 1.6 * memory],
            "load_ms": [0.6 * load, 1.5 * load],
            "fetch_share": fam["fetch_share"].number(),
            "lanes": sorted({int(s["lanes"].number()) for s in sorts}),
        },
        "tariffs": request_classes,
        "customers": tenants or [{"name": "all", "portion": 1.0, "rate": rate}],
        "traffic": {
            "rate": rate,
            "shares": shares,
            "work": work,
            "hint_cv": min(5.0, day["traffic"].get("hint_cv", 0.4)),
            "retries": int(clients["retries"].number()),
            "backoff_ms": min(500.0, clients["backoff_us"].ms()),
            "try_share": clients["try_share"].number(),
            "honour": clients["honour"].number(),
            "impatient": clients["impatient"].number(),
        },
        "store": {
            "takes": max(2, round(fam["store_takes"].number() * max(1.0, scale * 4))),
            "limit": 100,
            "thrash": min(1.0, fam["store_thrash"].number()),
            "fall_multiple": fam["store_fall_multiple"].number(),
            "fall_ms": fam["store_fall"].ms(),
            "down_ms": fam["store_down"].ms(),
        },
        "roster": {
            "notice_ms": [0.5 * discovery["notice"].ms(), discovery["notice"].ms()],
            "add_ms": [0.5 * discovery["add"].ms(), discovery["add"].ms()],
        },
        "rules": {"drain_grace_ms": day["drain_grace"].ms()},
        "permits": {
            "transmissions": min(16, int(allow["max_attempts"].number())),
            "second_copies": bool(allow["second_copies"].value),
            "withdraw": bool(allow["cancel"].value),
            "longest_retry_ms": clients["max_retry_after"].ms() if allow["retry_after"].value else 0.0,
        },
        "keeping": {
            "answers_miss": not fam["self_load"].value,
            "orders": bool(fam["orders"].value),
            "least_keep_ms": fam["stated_keep"].ms(),
            "order_timeout_ms": fam["order_timeout"].ms(),
            "idle_price": fam["memory_price"].number(),
        },
        "cold": {
            "multiple": day["fall_multiple"].number(),
            "span_ms": day["fall_for"].ms(),
            "start_share": tier["stated_cold_from"].number(),
            "warm_ms": tier["stated_cold"].ms(),
        },
        "ration": {
            "window_ms": fam["load_window"].ms()
            if fam["load_free"].number() + fam["load_share"].number() > 0
            else 0.0,
            "free": fam["load_free"].number(),
            "share": fam["load_share"].number(),
        },
    }


def _faults(day: Tree, executors: int, fronts: int, left_out: list[str]) -> list[dict[str, Any]]:
    running = sum(1 for s in day["servers"].each() if s["up"].value)
    balancers = len(day["balancers"].each())
    length = min(LENGTH_BOUND_S, day["length"].number() / 1e6)
    found = []
    for x in day["troubles"].each():
        kind = str(x["kind"].value)
        size, extra = x["size"].number(), x["extra"].number()
        made: dict[str, Any] = {
            "kind": kind,
            "at_s": x["at"].number() / 1e6,
            "len_s": x["len"].number() / 1e6,
            "size": size,
            "extra": extra,
            "which": int(x.get("which", 0)),
        }
        hit = len(x["on"].each())
        if made["at_s"] > length:
            left_out.append(f"{kind} at {made['at_s']:.0f} s, after the end")
            continue
        if kind in ("slow", "hang", "fast_errors", "pauses", "ageing", "throttle"):
            made["part"] = min(1.0, max(1 / executors, hit / max(1, running)))
            if kind == "throttle":
                made["extra"] = extra * max(c["aim"].ms() for c in day["classes"].each()) / 1e3
                if x.get("how", "tenant") != "tenant":
                    left_out.append("throttle by tariff (played by customer)")
        elif kind.startswith("balancer"):
            made["part"] = min(1.0, max(1 / fronts, hit / max(1, balancers)))
        elif kind == "zone_loss":
            made["how"] = "silent" if extra > 0.5 else "die"
        elif kind == "deploy":
            stopped = sum(len(step["stop"].each()) for step in x["steps"].each())
            made["part"] = min(1.0, stopped / max(1, running))
        elif kind == "shift" and x.get("how", "zone") != "zone":
            left_out.append("shift of the mix of tariffs")
            continue
        elif kind not in ("burst", "heavy_tail", "origin_slow", "flush", "scan", "shift"):
            left_out.append(f"trouble {kind!r}, which is not known here")
            continue
        found.append(made)
    return found
