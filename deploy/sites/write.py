"""Writes whole sites for the platform's bench from the kit and the values of our own beside this script.

    python deploy/sites/write.py [--kit FOLDER]

Each `NAME.toml` here holds what differs from the kit's site; the result, with the files that the bench
wants beside it, goes to `deploy/sites/written/NAME/`, which git ignores: no text of the kit is kept here.
Ends with 2 and one line where the kit is not at hand.
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
KIT = HERE.parents[2] / "given" / "kit" / "more" / "node" / "sites"
SITE, BESIDE = "main-campus.toml", ("real.json", "wire.json")


def merged(base: dict[str, Any], own: dict[str, Any]) -> dict[str, Any]:
    """Tables are merged, a table into each of a list of tables; all else is replaced as a whole.

    >>> merged({"a": {"b": 1, "c": 2}, "d": [{"e": 1}, {"e": 2}]}, {"a": {"c": 3}, "d": [{"e": 4}]})
    {'a': {'b': 1, 'c': 3}, 'd': [{'e': 4}]}
    >>> merged({"d": [{"e": 1, "f": 2}]}, {"d": {"f": 3}})
    {'d': [{'e': 1, 'f': 3}]}
    """
    found = dict(base)
    for key, value in own.items():
        there = found.get(key)
        if isinstance(value, dict) and isinstance(there, dict):
            found[key] = merged(there, value)
        elif isinstance(value, dict) and isinstance(there, list):
            found[key] = [merged(each, value) for each in there]
        else:
            found[key] = value
    return found


def per_class(site: dict[str, Any]) -> dict[str, Any]:
    """One entry of `fam.class` for each class: where there are fewer, the last one stands for the others."""
    each = site["fam"]["class"]
    each += [each[-1]] * (len(site["class"]) - len(each))
    return site


def written(table: dict[str, Any], path: str = "") -> list[str]:
    """TOML of a table, plain values first.

    >>> written({"a": {"x": [1, 2.5], "y": [{"z": True}]}, "b": "c"})
    ['b = "c"', '[a]', 'x = [1, 2.5]', '[[a.y]]', 'z = true']
    """
    lines, rest = [], []
    for key, value in table.items():
        name = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            rest += [f"[{name}]", *written(value, name)]
        elif isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
            for item in value:
                rest += [f"[[{name}]]", *written(item, name)]
        else:
            lines.append(f"{key} = {json.dumps(value)}")
    return lines + rest


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--kit", type=Path, default=KIT, help="the kit's folder of sites")
    kit = parser.parse_args().kit
    unlock = kit.parents[1] / "mass" / "unlock.txt"
    for path in (kit / SITE, *(kit / name for name in BESIDE), unlock):
        if not path.is_file():
            print(f"write.py: the kit is not at hand: {path} is missing", file=sys.stderr)
            return 2
    base = tomllib.loads((kit / SITE).read_text())
    for own in sorted(HERE.glob("*.toml")):
        folder = HERE / "written" / own.stem
        folder.mkdir(parents=True, exist_ok=True)
        site = per_class(merged(base, tomllib.loads(own.read_text())))
        (folder / own.name).write_text("\n".join(written(site)) + "\n")
        for name in BESIDE:
            shutil.copy(kit / name, folder / name)
        (folder / "unlock.txt").write_bytes(unlock.read_bytes() + (kit / "unlock.txt").read_bytes())
        print(folder / own.name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
