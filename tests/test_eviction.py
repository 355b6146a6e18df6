"""Which idle replica is evicted first."""

from petrelway.worker.eviction import EvictionRanking


def test_evicts_last_what_is_costly_to_load_and_often_used():
    ranking = EvictionRanking()
    for _ in range(8):
        ranking.record_use("hot", 0.0)
    ranking.record_use("cold", 0.0)
    ranking.add_idle(1, "hot", 100.0, 500.0, 0.0)
    ranking.add_idle(2, "cold", 100.0, 500.0, 0.0)
    ranking.add_idle(3, "cold", 800.0, 500.0, 0.0)  # as dear, but eight times the room
    assert list(ranking.lowest_first()) == [3, 2, 1]
    ranking.record_eviction(3)
    ranking.add_idle(4, "cold", 100.0, 500.0, 0.0)  # what falls idle later starts from the base: age counts
    assert list(ranking.lowest_first()) == [2, 4, 1]
    ranking.remove(2), ranking.remove(2)
    assert list(ranking.lowest_first()) == [4, 1]
    ranking.expire(1e9, {"hot"})
    assert set(ranking.uses) == {"hot"}
