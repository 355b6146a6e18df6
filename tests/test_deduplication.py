"""Deduplication entries and their bounds."""

from petrelway.worker.deduplication import DeduplicationTable
from petrelway.worker.request_identity import identify


def test_completed_entries_are_bounded():
    table = DeduplicationTable(entries_bound=3, bytes_bound=100)
    for i in range(6):
        identity = identify("north", str(i), "f", "t", b"")
        table.register(identity, "c", 0.0, 1e9)
        table.complete(identity.key, True, b"x" * 30, 1.0)
    assert len(table.completed) == 3 and table.answer_bytes == 90 and table.evicted_early == 3
