"""Structured logs: one line for each event that matters to operators, as JSON or for a console."""

from __future__ import annotations

import logging
import sys
from collections import Counter, deque
from typing import Any, TextIO

import structlog

LEVELS = ("debug", "info", "warning", "error")
FORMS = ("json", "console")

LINES_BOUND = 5000  # lines that may wait to be written; further ones are lost and counted
BATCH_LINES = 50  # lines written in one step
KINDS_BOUND = 64  # distinct kinds of library errors that are logged; further ones are only counted
TRACE_CHARACTERS = 4000  # of a traceback that are logged; its end is kept


class BufferedLogStream:
    """A stream that keeps lines until there is time to write them; lines past its bound are lost and counted.

    >>> import io
    >>> out = io.StringIO(); lines = BufferedLogStream(out, bound=2); lines.at_once = False
    >>> for text in ("a", "b", "c"): _ = lines.write(text + chr(10))
    >>> lines.ship(), lines.ship(), out.getvalue().splitlines()
    (True, False, ['a', 'b', '(1 log lines lost: too many at once)'])
    """

    def __init__(self, stream: TextIO, bound: int = LINES_BOUND) -> None:
        self.stream, self.bound = stream, bound
        self.waiting: deque[str] = deque()
        self.lost = 0
        self.at_once = True  # until a caller turns buffering on and calls `ship`

    def write(self, text: str) -> int:
        """Buffer a line for `ship`, or write it immediately while `at_once` is set."""
        if self.at_once:
            self._write_now(text)
            return len(text)
        if len(self.waiting) >= self.bound:
            self.lost += text.count("\n")
        else:
            self.waiting.append(text)
        return len(text)

    def _write_now(self, text: str) -> None:
        """Write now; a failure is only counted: it must not end the request or connection that logs."""
        if self.lost:
            text = f"({self.lost} log lines lost)\n{text}"
        try:
            self.stream.write(text)
            self.stream.flush()
        except OSError:
            self.lost += 1
            return
        self.lost = 0

    def flush(self) -> None:
        """Do nothing; `ship` and immediate writes flush the stream."""

    def ship(self) -> bool:
        """Write one batch; return False if no line waited or the write failed."""
        if not self.waiting and not self.lost:
            return False
        batch = [self.waiting.popleft() for _ in range(min(BATCH_LINES, len(self.waiting)))]
        if self.lost and not self.waiting:
            batch.append(f"({self.lost} log lines lost: too many at once)\n")
            self.lost = 0
        try:
            self.stream.write("".join(batch))
            self.stream.flush()
        except OSError:  # a full disk must neither end the calls of `ship` nor be retried without a pause
            self.lost += len(batch)
            return False
        return True

    def finish(self) -> None:
        """Write all waiting lines, and later ones immediately, because the process ends."""
        while self.ship():
            pass
        self.at_once = True


class LibraryErrors:
    """Logs errors that Twisted would print as tracebacks: the first of each kind, then only counts."""

    def __init__(self, log) -> None:
        self.log = log
        self.counts: Counter[str] = Counter()

    def __call__(self, event: dict[str, Any]) -> None:
        """Log or count an error event; called by Twisted as a log observer."""
        failure = event.get("log_failure")
        if failure is None and not event.get("isError"):
            return
        kind = type(failure.value).__name__ if failure is not None else "error"
        place = str(event.get("log_namespace", ""))
        self.counts[f"{place}: {kind}"] += 1
        if self.counts[f"{place}: {kind}"] == 1 and len(self.counts) <= KINDS_BOUND:
            trace = failure.getTraceback() if failure is not None else str(event.get("log_format", ""))
            self.log.error("error in a library", kind=kind, place=place, trace=trace[-TRACE_CHARACTERS:])


def library_errors(log) -> LibraryErrors:
    """Write Twisted's errors to this log from now on, and return the observer."""
    from twisted.logger import globalLogBeginner

    observer = LibraryErrors(log)
    globalLogBeginner.beginLoggingTo([observer], discardBuffer=True, redirectStandardIO=False)
    return observer


def start(
    form: str, level: str, path: str = "", stream: TextIO | None = None, **bound: Any
) -> tuple[structlog.typing.FilteringBoundLogger, BufferedLogStream]:
    """Return a logger for one process, and the stream that it writes to.

    The log goes to the file `path`; if that is empty, to `stream`, or else to standard error.

    Raises OSError if the file can't be opened.
    """
    to = open(path, "a", buffering=1, encoding="utf-8") if path else stream or sys.stderr  # noqa: SIM115 - open for the process's life
    stream = BufferedLogStream(to)
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=not path and sys.stderr.isatty())
    )
    chain = [structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True)]
    if form == "json":
        chain.append(structlog.processors.dict_tracebacks)
    structlog.configure(
        processors=[*chain, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(stream),
    )
    return structlog.get_logger().bind(**bound), stream
