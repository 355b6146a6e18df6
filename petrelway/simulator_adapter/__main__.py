"""The loop: one line of events in, one line of actions out."""

from __future__ import annotations

import json
import sys
from typing import TextIO

from .codec import Door, WireError


def reply(doors: dict[str, Door], line: str) -> str:
    """Answer one batch."""
    try:
        batch = json.loads(line)
        clock, items = batch["wallS"], batch["items"]
        turn = batch["turn"]
    except (ValueError, KeyError, TypeError) as error:
        raise WireError(f"not a batch: {error}") from error
    now = clock * 1e3
    awake: dict[str, None] = {}
    actions: list[list] = []
    for item in items:
        try:
            kind, name = item[0], item[1]
            if kind == "begin":
                doors[name] = Door(name, now, item[2], item[3])
            elif kind == "shutdown":
                doors.pop(name, None)
                awake.pop(name, None)
                continue
            elif name not in doors:
                raise WireError(f"event {kind!r} for {name!r}, which has not begun")
            else:
                doors[name].event(now, item)
            awake[name] = None
        except (IndexError, KeyError, TypeError, ValueError) as error:
            raise WireError(f"malformed event {item!r:.200}: {error!r}") from error
    for name in awake:
        try:
            actions.extend(doors[name].actions(now))
        except Exception as error:  # the wire asks for a word when the decision code itself fails
            print(
                f"petrelway.simulator_adapter: the decision code failed for {name}: {error!r}",
                file=sys.stderr,
            )
            actions.append(["fatal", name, f"{error!r:.200}"])
    return json.dumps({"turn": turn, "actions": actions}, separators=(",", ":"))


def main(source: TextIO, sink: TextIO) -> int:
    doors: dict[str, Door] = {}
    for line in source:
        if not line.strip():
            continue
        try:
            sink.write(reply(doors, line) + "\n")
        except WireError as fault:
            print(f"petrelway.simulator_adapter: {fault}", file=sys.stderr)
            return 1
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin, sys.stdout))
