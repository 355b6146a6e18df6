"""The worker protocol, without I/O: encodes messages as bytes, and decodes bytes into calls on a listener.

docs/wire.md describes the protocol; `listeners.py` has the methods of the listeners. An unknown version, an
unknown kind of message and malformed bytes raise WireError, whose text is the reason to log when the
connection is closed. A message to an executor that can be read but not used raises UnusableMessageError: it
costs what it asks for, not its connection.
"""

from __future__ import annotations

import math

from google.protobuf.message import DecodeError

from ..common.request_bounds import NAME_BOUND
from . import worker_pb2 as pb
from .framing import WireError, frame
from .listeners import ExecutorListener, FrontEndListener, LoadReport
from .outcomes import ExecutorOutcome, ReplicaWarmth

VERSION = 1
REPLICAS_BOUND = 16  # replicas that one load request may ask for


def greeting(front_end: str, process: str) -> bytes:
    """Encode a front end's first message."""
    return frame(
        pb.FromFront(
            greeting=pb.Greeting(version=VERSION, front_end=front_end, process=process)
        ).SerializeToString()
    )


def send(
    serial: int,
    number: int,
    idempotency_key: str,
    function: str,
    memory_mb: float,
    concurrency: int,
    request_class: str,
    tenant: str,
    remaining_ms: float,
    work_ms: float,
    content_type: str,
    body: bytes,
) -> bytes:
    """Encode one attempt of a request."""
    return frame(
        pb.FromFront(
            send=pb.Send(
                serial=serial,
                number=number,
                mark=idempotency_key,
                function=function,
                memory_mb=memory_mb,
                lanes=concurrency,
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
    """Encode the cancellation of an attempt whose result is no longer needed."""
    return frame(pb.FromFront(withdraw=pb.Withdraw(serial=serial, number=number)).SerializeToString())


def request_load(id: int, function: str, replicas: int, memory_mb: float, concurrency: int) -> bytes:
    """Encode a load request for `replicas` of a function; 0 only asks how many there are."""
    return frame(
        pb.FromFront(
            order=pb.Order(id=id, function=function, copies=replicas, memory_mb=memory_mb, lanes=concurrency)
        ).SerializeToString()
    )


def unload(function: str) -> bytes:
    """Encode that the idle replicas of a function may be unloaded."""
    return frame(pb.FromFront(unload=pb.Unload(function=function)).SerializeToString())


def probe(id: int) -> bytes:
    """Encode a request for a load report."""
    return frame(pb.FromFront(probe=pb.Probe(id=id)).SerializeToString())


def welcome(executor: str, process: str, machine: str, started_ms: float) -> bytes:
    """Encode an executor's answer to the greeting."""
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
    load: LoadReport,
    content_type: str,
    body: bytes,
) -> bytes:
    """Encode how an attempt ended."""
    conflict = outcome == ExecutorOutcome.CONFLICT
    return frame(
        pb.FromExecutor(
            ended=pb.Ended(
                serial=serial,
                number=number,
                outcome=ExecutorOutcome.CANCELLED if conflict else outcome,
                conflict=conflict,
                warmth=warmth,
                crowd=crowd,
                report=_encode_report(load),
                content_type=content_type,
                body=body,
            )
        ).SerializeToString()
    )


def load_request_ended(id: int, outcome: int, replicas: int) -> bytes:
    """Encode how a load request ended, and how many replicas are ready."""
    return frame(pb.FromExecutor(stood=pb.Stood(id=id, outcome=outcome, copies=replicas)).SerializeToString())


def probed(id: int, load: LoadReport) -> bytes:
    """Encode the answer to a probe."""
    return frame(
        pb.FromExecutor(
            probed=pb.Probed(
                id=id,
                report=_encode_report(load),
            )
        ).SerializeToString()
    )


def _encode_report(load: LoadReport) -> pb.Report:
    return pb.Report(
        queue=load.queue,
        in_hand=load.in_hand,
        loads=load.loads,
        pinned=load.pinned,
        used_mb=load.used_mb,
    )


def _greeting_received(greeting: pb.Greeting, listener: ExecutorListener) -> None:
    _check_version(greeting.version)
    _check_names(greeting.front_end, greeting.process)
    listener.greeted(greeting.front_end, greeting.process)


class UnusableMessageError(WireError):
    """A message with a name or an amount out of bounds; `answer` is what its sender is owed, if anything."""

    def __init__(self, reason: WireError, answer: bytes = b"") -> None:
        super().__init__(str(reason))
        self.answer = answer


def _send_received(send: pb.Send, listener: ExecutorListener) -> None:
    try:
        _check_names(send.mark, send.function, send.tariff, send.customer)
        _check_amounts(send.memory_mb, send.remaining_ms, send.work_ms)
    except WireError as error:
        raise UnusableMessageError(error, _never_ran(send.serial, send.number)) from error
    listener.sent(
        send.serial,
        send.number,
        send.mark,
        send.function,
        send.memory_mb,
        max(1, send.lanes),
        send.tariff,
        send.customer,
        send.remaining_ms,
        send.work_ms,
        send.content_type,
        send.body,
    )


def _cancel_received(withdraw: pb.Withdraw, listener: ExecutorListener) -> None:
    listener.cancelled(withdraw.serial, withdraw.number)


def _never_ran(serial: int, number: int) -> bytes:
    return ended(serial, number, ExecutorOutcome.FULL, ReplicaWarmth.UNKNOWN, 0, LoadReport(), "", b"")


def _load_request_received(order: pb.Order, listener: ExecutorListener) -> None:
    try:
        _check_load_request(order)
    except WireError as error:
        answer = load_request_ended(order.id, ExecutorOutcome.FULL, 0)
        raise UnusableMessageError(error, answer) from error
    listener.load_requested(order.id, order.function, order.copies, order.memory_mb, max(1, order.lanes))


def _check_load_request(order: pb.Order) -> None:
    _check_names(order.function)
    _check_amounts(order.memory_mb)
    if order.copies > REPLICAS_BOUND:
        raise WireError(f"a load request for {order.copies} replicas is over the bound of {REPLICAS_BOUND}")


def _unload_received(unload: pb.Unload, listener: ExecutorListener) -> None:
    try:
        _check_names(unload.function)
    except WireError as error:
        raise UnusableMessageError(error) from error
    listener.unloaded(unload.function)


def _probe_received(probe: pb.Probe, listener: ExecutorListener) -> None:
    listener.probe_received(probe.id)


def _welcome_received(welcome: pb.Welcome, listener: FrontEndListener) -> None:
    _check_version(welcome.version)
    _check_names(welcome.executor, welcome.process, welcome.machine)
    _check_amounts(welcome.started_ms)
    listener.welcomed(welcome.executor, welcome.process, welcome.machine, welcome.started_ms)


def _ended_received(ended: pb.Ended, listener: FrontEndListener) -> None:
    _check_outcome(ended.outcome)
    if ended.warmth > MAX_WARMTH:
        raise WireError(f"warmth {ended.warmth} is not in 0 to {MAX_WARMTH}")
    listener.ended(
        ended.serial,
        ended.number,
        int(ExecutorOutcome.CONFLICT) if ended.conflict else ended.outcome,
        ended.warmth,
        ended.crowd,
        _decode_report(ended.report),
        ended.content_type,
        ended.body,
    )


def _load_request_ended_received(stood: pb.Stood, listener: FrontEndListener) -> None:
    _check_outcome(stood.outcome)
    listener.load_request_ended(stood.id, stood.outcome, stood.copies)


def _probed_received(probed: pb.Probed, listener: FrontEndListener) -> None:
    listener.probed(probed.id, _decode_report(probed.report))


# keyed by the name of the message's field in the protocol
FROM_FRONT_END = {
    "greeting": _greeting_received,
    "send": _send_received,
    "withdraw": _cancel_received,
    "order": _load_request_received,
    "unload": _unload_received,
    "probe": _probe_received,
}
FROM_EXECUTOR = {
    "welcome": _welcome_received,
    "ended": _ended_received,
    "stood": _load_request_ended_received,
    "probed": _probed_received,
}


def from_front(payload: bytes, listener: ExecutorListener) -> None:
    """Decode one payload from a front end, and call the listener. Raises WireError."""
    _dispatch(_parse(pb.FromFront(), payload), FROM_FRONT_END, listener)


def from_executor(payload: bytes, listener: FrontEndListener) -> None:
    """Decode one payload from an executor, and call the listener. Raises WireError."""
    _dispatch(_parse(pb.FromExecutor(), payload), FROM_EXECUTOR, listener)


def _dispatch(message, handlers: dict, listener) -> None:
    kind = message.WhichOneof("what")
    if kind not in handlers:
        raise WireError("a message of no known kind")
    handlers[kind](getattr(message, kind), listener)


# If an executor could answer UNREACHABLE or UNSENT, a non-idempotent request would run twice.
EXECUTOR_OUTCOMES = frozenset(map(int, ExecutorOutcome)) - {int(ExecutorOutcome.CONFLICT)}
MAX_WARMTH = int(max(ReplicaWarmth))


def _parse(message: pb.FromFront | pb.FromExecutor, payload: bytes):
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise WireError(f"{len(payload)} bytes that are no message: {error}") from error
    return message


def _check_version(version: int) -> None:
    if version != VERSION:
        raise WireError(f"version {version} of the worker protocol; allowed: {VERSION}")


def _check_names(*names: str) -> None:
    for name in names:
        if len(name) > NAME_BOUND:
            raise WireError(f"a name of {len(name)} characters is over the bound of {NAME_BOUND}")


def _check_amounts(*amounts: float) -> None:
    for amount in amounts:
        if not (math.isfinite(amount) and amount >= 0.0):  # a NaN would turn every average into NaN
            raise WireError(f"an amount of {amount}; it must be a finite number, 0 or more")


def _decode_report(report: pb.Report) -> LoadReport:
    _check_amounts(report.pinned, report.used_mb)
    return LoadReport(report.queue, report.in_hand, report.loads, report.pinned, report.used_mb)


def _check_outcome(outcome: int) -> None:
    if outcome not in EXECUTOR_OUTCOMES:
        allowed = sorted(EXECUTOR_OUTCOMES)
        raise WireError(f"an executor may not say outcome {outcome}; allowed {allowed}")
