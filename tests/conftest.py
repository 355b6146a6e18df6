"""Known failures: tests that KNOWN-RED.txt names may fail, are printed, and must not pass unnoticed."""

from __future__ import annotations

from pathlib import Path

import pytest
from failing import failing, failing_library

__all__ = ["failing", "failing_library"]

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_BOUND = 3  # what the operators allow at a landing


def known_red(text: str) -> dict[str, str]:
    """Node ids (with or without parameters) and why each is red; lines are `test | cause | issue`."""
    found = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        test, cause, issue = (part.strip() for part in line.split("|"))
        found[test] = f"{cause} ({issue})"
    return found


def listed() -> dict[str, str]:
    return known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else {}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """A listed test that passes fails the run: it has to be taken off the list."""
    reds = listed()
    for item in items:
        why = reds.get(item.nodeid) or reds.get(item.nodeid.partition("[")[0])
        if why is not None:
            item.add_marker(pytest.mark.xfail(reason=why, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, why in listed().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {why}")
