"""Structured logs: one event a line where something changed for an operator, as JSON or for a console."""

from __future__ import annotations

import logging
import sys

import structlog

LEVELS = ("debug", "info", "warning", "error")
FORMS = ("json", "console")


def start(form: str, level: str, path: str = "", **bound) -> structlog.typing.FilteringBoundLogger:
    """A logger for one process; `path` empty: standard error. Raises OSError if it can't be opened."""
    stream = open(path, "a", buffering=1, encoding="utf-8") if path else sys.stderr  # noqa: SIM115
    last = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=not path and sys.stderr.isatty())
    )
    chain = [structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True)]
    if form == "json":
        chain.append(structlog.processors.dict_tracebacks)
    structlog.configure(
        processors=[*chain, last],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(stream),
    )
    return structlog.get_logger().bind(**bound)
