"""What a day tells its front ends."""

from __future__ import annotations

from typing import Any

from ..fakes.traffic import functions


def front_settings(
    day: dict[str, Any],
    tree: dict[str, Any],
    number: int,
    port: int,
    registry_port: int,
    log: dict[str, str] | None = None,
    peers: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """The settings of one front end of a day, as its file would say them."""
    fleet = day["fleet"]
    told = [{"name": f.name, "memory_mb": f.memory_mb, "lanes": f.lanes} for f in functions(day)]
    settings = {
        "front_end": {
            "name": f"front-{number}",
            "hall": fleet.zones[number % len(fleet.zones)],
            "number": number,
            "peers": fleet.fronts,
            "seed": day["day"].seed % 1_000_000 * 1000 + number,
        },
        "listen": {"port": port},
        "roster": {"port": registry_port},
        "fleet": {"halls": fleet.zones, "machines": [k.name for k in fleet.kinds]},
        "functions": [*told, {"name": "once-*", "memory_mb": 300.0, "lanes": 4}],
        "log": log or {},
    }
    if peers is not None:
        settings["peers"] = peers
    for section in ("tariffs", "customers", "permits", "keeping", "cold", "ration"):
        if section in tree:
            settings[section] = tree[section]
    return settings
