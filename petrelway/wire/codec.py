"""The worker protocol: bytes to calls on a listener, results to bytes. docs/wire.md has the page.

The listener's methods are named in `FrontSide` and `ExecutorSide`; an unknown version, an unknown kind
of message and malformed bytes raise WireError, whose text is the reason to log when the link is closed.
"""

from __future__ import annotations

import math
from typing import NamedTuple, Protocol

from google.protobuf.message import DecodeError

from . import worker_pb2 as pb
from .framing import WireError, frame

VERSION = 1
NAME_BOUND = 512  # characters of a name on the wire
REPLICAS_BOUND = 16  # copies that one order may ask for


class Load(NamedTuple):
    """What an executor says of its load; `pinned` is the share of memory that can't be freed."""

    queue: int = 0
    in_hand: int = 0
    loads: int = 0
    pinned: float = 0.0
    used_mb: float = 0.0


class ExecutorSide(Protocol):
    """What an executor hears from a front end."""

    def greeted(self, front_end: str, process: str) -> None: ...

    def sent(
        self,
        serial: int,
        number: int,
        mark: str,
        function: str,
        memory_mb: float,
        lanes: int,
        request_class: str,
        tenant: str,
        remaining_ms: float,
        work_ms: float,
        content_type: str,
        body: bytes,
    ) -> None: ...

    def cancelled(self, serial: int, number: int) -> None: ...

    def load_requested(self, id: int, function: str, replicas: int, memory_mb: float, lanes: int) -> None: ...

    def unloaded(self, function: str) -> None: ...

    def asked(self, id: int) -> None: ...


class FrontSide(Protocol):
    """What a front end hears from an executor."""

    def welcomed(self, executor: str, process: str, machine: str, started_ms: float) -> None: ...

    def ended(
        self,
        serial: int,
        number: int,
        outcome: int,
        warmth: int,
        crowd: int,
        load: Load,
        content_type: str,
        body: bytes,
    ) -> None: ...

    def stood(self, id: int, outcome: int, replicas: int) -> None: ...

    def probed(self, id: int, load: Load) -> None: ...


def greeting(front_end: str, process: str) -> bytes:
    return frame(
        pb.FromFront(
            greeting=pb.Greeting(version=VERSION, front_end=front_end, process=process)
        ).SerializeToString()
    )


def send(
    serial: int,
    number: int,
    mark: str,
    function: str,
    memory_mb: float,
    lanes: int,
    request_class: str,
    tenant: str,
    remaining_ms: float,
    work_ms: float,
    content_type: str,
    body: bytes,
) -> bytes:
    return frame(
        pb.FromFront(
            send=pb.Send(
                serial=serial,
                number=number,
                mark=mark,
                function=function,
                memory_mb=memory_mb,
                lanes=lanes,
                tariff=request_class,
                customer=tenant,
                remaining_ms=remaining_ms,
                work_ms=work_ms,
                content_type=content_type,
                body=body,
            )
        ).SerializeToString()
    )


def cancel_attempt(serial: int, number: int) -> bytes:
    return frame(pb.FromFront(withdraw=pb.Withdraw(serial=serial, number=number)).SerializeToString())


def order(id: int, function: str, replicas: int, memory_mb: float, lanes: int) -> bytes:
    return frame(
        pb.FromFront(
            order=pb.Order(id=id, function=function, copies=replicas, memory_mb=memory_mb, lanes=lanes)
        ).SerializeToString()
    )


def unload(function: str) -> bytes:
    return frame(pb.FromFront(unload=pb.Unload(function=function)).SerializeToString())


def probe(id: int) -> bytes:
    return frame(pb.FromFront(probe=pb.Probe(id=id)).SerializeToString())


def welcome(executor: str, process: str, machine: str, started_ms: float) -> bytes:
    return frame(
        pb.FromExecutor(
            welcome=pb.Welcome(
                version=VERSION, executor=executor, process=process, machine=machine, started_ms=started_ms
            )
        ).SerializeToString()
    )


def ended(
    serial: int,
    number: int,
    outcome: int,
    warmth: int,
    crowd: int,
    load: Load,
    content_type: str,
    body: bytes,
) -> bytes:
    return frame(
        pb.FromExecutor(
            ended=pb.Ended(
                serial=serial,
                number=number,
                outcome=outcome,
                warmth=warmth,
                crowd=crowd,
                report=pb.Report(
                    queue=load.queue,
                    in_hand=load.in_hand,
                    loads=load.loads,
                    pinned=load.pinned,
                    used_mb=load.used_mb,
                ),
                content_type=content_type,
                body=body,
            )
        ).SerializeToString()
    )


def stood(id: int, outcome: int, replicas: int) -> bytes:
    return frame(pb.FromExecutor(stood=pb.Stood(id=id, outcome=outcome, copies=replicas)).SerializeToString())


def probed(id: int, load: Load) -> bytes:
    return frame(
        pb.FromExecutor(
            probed=pb.Probed(
                id=id,
                report=pb.Report(
                    queue=load.queue,
                    in_hand=load.in_hand,
                    loads=load.loads,
                    pinned=load.pinned,
                    used_mb=load.used_mb,
                ),
            )
        ).SerializeToString()
    )


def from_front(payload: bytes, side: ExecutorSide) -> None:
    """One payload from a front end, as one call. Raises WireError."""
    message = _parse(pb.FromFront(), payload)
    kind = message.WhichOneof("what")
    if kind == "send":
        m = message.send
        _names(m.mark, m.function, m.tariff, m.customer)
        _amounts(m.memory_mb, m.remaining_ms, m.work_ms)
        side.sent(
            m.serial,
            m.number,
            m.mark,
            m.function,
            m.memory_mb,
            max(1, m.lanes),
            m.tariff,
            m.customer,
            m.remaining_ms,
            m.work_ms,
            m.content_type,
            m.body,
        )
    elif kind == "withdraw":
        side.cancelled(message.withdraw.serial, message.withdraw.number)
    elif kind == "order":
        m = message.order
        _names(m.function)
        _amounts(m.memory_mb)
        if m.copies > REPLICAS_BOUND:
            raise WireError(f"an order for {m.copies} copies is over the bound of {REPLICAS_BOUND}")
        side.load_requested(m.id, m.function, m.copies, m.memory_mb, max(1, m.lanes))
    elif kind == "unload":
        _names(message.unload.function)
        side.unloaded(message.unload.function)
    elif kind == "probe":
        side.asked(message.probe.id)
    elif kind == "greeting":
        _version(message.greeting.version)
        _names(message.greeting.front_end, message.greeting.process)
        side.greeted(message.greeting.front_end, message.greeting.process)
    else:
        raise WireError("a message of no known kind")


def from_executor(payload: bytes, side: FrontSide) -> None:
    """One payload from an executor, as one call. Raises WireError."""
    message = _parse(pb.FromExecutor(), payload)
    kind = message.WhichOneof("what")
    if kind == "ended":
        m = message.ended
        if m.outcome not in SAYABLE:
            raise WireError(f"an executor may not say outcome {m.outcome}; allowed {sorted(SAYABLE)}")
        if m.warmth > 4:
            raise WireError(f"warmth {m.warmth} is not in 0 to 4")
        side.ended(m.serial, m.number, m.outcome, m.warmth, m.crowd, _load(m.report), m.content_type, m.body)
    elif kind == "stood":
        m = message.stood
        if m.outcome not in SAYABLE:
            raise WireError(f"an executor may not say outcome {m.outcome}; allowed {sorted(SAYABLE)}")
        side.stood(m.id, m.outcome, m.copies)
    elif kind == "probed":
        side.probed(message.probed.id, _load(message.probed.report))
    elif kind == "welcome":
        m = message.welcome
        _version(m.version)
        _names(m.executor, m.process, m.machine)
        _amounts(m.started_ms)
        side.welcomed(m.executor, m.process, m.machine, m.started_ms)
    else:
        raise WireError("a message of no known kind")


# danger: an executor that could say UNREACHABLE or UNSENT would have a one-shot request run twice
SAYABLE = frozenset((0, 1, 2, 6, 8))  # SUCCEEDED, ERROR, FULL, CANCELLED, MISS of interface.Outcome


def _parse(message: pb.FromFront | pb.FromExecutor, payload: bytes):
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise WireError(f"{len(payload)} bytes that are no message: {error}") from error
    return message


def _version(told: int) -> None:
    if told != VERSION:
        raise WireError(f"version {told} of the worker protocol; this side speaks {VERSION}")


def _names(*names: str) -> None:
    for name in names:
        if len(name) > NAME_BOUND:
            raise WireError(f"a name of {len(name)} characters is over the bound of {NAME_BOUND}")


def _amounts(*amounts: float) -> None:
    for amount in amounts:
        if not (math.isfinite(amount) and amount >= 0.0):  # danger: a NaN poisons every average it meets
            raise WireError(f"an amount of {amount}; it must be a finite number, 0 or more")


def _load(r: pb.Report) -> Load:
    _amounts(r.pinned, r.used_mb)
    return Load(r.queue, r.in_hand, r.loads, r.pinned, r.used_mb)
