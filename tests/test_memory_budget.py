"""The memory budget of a worker."""

import random

from petrelway.worker.memory_budget import MemoryBudget


def test_budget_never_gives_the_same_memory_twice():
    random_source = random.Random(2)
    budget = MemoryBudget(1000.0)
    reserved = {}
    for i in range(2000):
        if reserved and random_source.random() < 0.45:
            gone = random_source.choice(list(reserved))
            budget.release(gone)
            del reserved[gone]
        else:
            mb = random_source.uniform(10.0, 300.0)
            if budget.reserve(i, mb):
                reserved[i] = mb
        assert (
            sum(reserved.values()) <= 1000.0 + 1e-6 and abs(budget.used_mb() - sum(reserved.values())) < 1e-6
        )
