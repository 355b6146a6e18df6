"""Main loop of the adapter: one line of actions out for each line of events in, until the input ends."""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from .codec import MS_PER_S, SimulatedInstance, WireError


def reply(instances: dict[str, SimulatedInstance], line: str) -> str:
    """Answer one batch. Raises WireError if the batch violates the wire format."""
    try:
        batch = json.loads(line)
        clock_s = batch["wallS"]
        items = batch["items"]
        turn = batch["turn"]
    except (ValueError, KeyError, TypeError) as error:
        raise WireError(f"not a batch: {error}") from error
    now = clock_s * MS_PER_S
    pending: dict[str, None] = {}
    for item in items:
        try:
            _handle(instances, pending, now, item)
        except (IndexError, KeyError, TypeError, ValueError) as error:
            raise WireError(f"malformed event {item!r:.200}: {error!r}") from error
    actions: list[list[Any]] = []
    for name in pending:
        try:
            actions.extend(instances[name].actions(now))
        except Exception as error:  # the wire format has an action for a failure of the decisions
            print(
                f"petrelway.simulator_adapter: the decision code failed for {name}: {error!r}",
                file=sys.stderr,
            )
            actions.append(["fatal", name, f"{error!r:.200}"])
    return json.dumps({"turn": turn, "actions": actions}, separators=(",", ":"))


def _handle(
    instances: dict[str, SimulatedInstance], pending: dict[str, None], now: float, item: list[Any]
) -> None:
    """Handle one event; `pending` collects the instances to be asked for actions, in order."""
    kind = item[0]
    name = item[1]
    if kind == "shutdown":
        instances.pop(name, None)
        pending.pop(name, None)
        return
    if kind == "begin":
        instances[name] = SimulatedInstance(name, now, item[2], item[3])
    elif name not in instances:
        raise WireError(f"event {kind!r} for {name!r}, which has not begun")
    else:
        instances[name].event(now, item)
    pending[name] = None


def main(source: TextIO, sink: TextIO) -> int:
    """Answer batches until the input ends; return 1 after a line that violates the wire format, else 0."""
    instances: dict[str, SimulatedInstance] = {}
    for line in source:
        if not line.strip():
            continue
        try:
            sink.write(reply(instances, line) + "\n")
        except WireError as error:
            print(f"petrelway.simulator_adapter: {error}", file=sys.stderr)
            return 1
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin, sys.stdout))
