"""Deduplication entries and their bounds."""

from petrelway.worker.deduplication import DeduplicationTable


def test_completed_entries_are_bounded():
    table = DeduplicationTable(entries_bound=3, bytes_bound=100)
    for i in range(6):
        table.register(str(i), "c", 0.0, 1e9)
        table.complete(str(i), True, b"x" * 30, 1.0)
    assert len(table.completed) == 3 and table.answer_bytes == 90 and table.evicted_early == 3
