"""The order of loads, and the backoff after failures."""

from petrelway.worker.load_scheduler import INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, LoadScheduler, PendingLoad


def test_failures_double_the_backoff_up_to_its_bound():
    loads = LoadScheduler(1, 10)
    waits = []
    for i in range(10):
        load = PendingLoad(i, "f", 1.0, 1)
        loads.enqueue(load)
        loads.start(load, 0.0)
        loads.record_failure(load, 0.0)
        waits.append(loads.backoff_until("f"))
    assert (
        waits[:3] == [INITIAL_BACKOFF_MS, 2 * INITIAL_BACKOFF_MS, 4 * INITIAL_BACKOFF_MS]
        and waits[-1] == MAX_BACKOFF_MS
    )
