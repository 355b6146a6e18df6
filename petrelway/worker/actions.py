"""What the call scheduler asks its host to do. The service carries each action out by its kind."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple


class ActionKind(Enum):
    """The kinds of action, each with the fields that it fills in."""

    START_LOAD = "start load"  # replica_id, function
    CANCEL_LOAD = "cancel load"  # replica_id: its fetch or start is of no use any more
    START_CALL = "start call"  # replica_id, call_id, body
    STOP_CALL = "stop call"  # replica_id, call_id
    END_REPLICA = "end replica"  # replica_id, reason
    ANSWER_ATTEMPT = "answer attempt"  # front_end, serial, number, outcome, warmth, crowd, body
    ANSWER_LOAD_REQUEST = "answer load request"  # front_end, serial: its id, outcome, number: of replicas
    SET_TIMER = "set timer"  # at_ms


class Action(NamedTuple):
    """One thing for the host to do; fields that its kind does not need stay at their defaults."""

    kind: ActionKind
    replica_id: int = -1
    call_id: int = -1
    function: str = ""
    front_end: Any = None
    serial: int = 0
    number: int = 0
    outcome: int = 0
    warmth: int = 0
    crowd: int = 0
    body: bytes = b""
    reason: str = ""
    at_ms: float = 0.0
