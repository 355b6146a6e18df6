"""What the log says of the process's memory."""

import mmap

from doubles import Log

from petrelway.common.process_memory import ResidentMemory
from petrelway.node.buffer_pool import BufferPool
from petrelway.node.memory_plan import plan_memory
from petrelway.node.memory_watch import MemoryWatch

HELD_BYTES = 10_240_000


def test_memory_near_the_limit_is_logged_once_an_episode_with_what_holds_it():
    """A process that is killed for memory says nothing more: what holds it must be in the log before."""
    sizes = iter([89e6, 91e6, 95e6, 88e6, 84e6, 92e6])
    log, buffers = Log(), BufferPool(16_000_000)
    plan = plan_memory(100_000_000, 50_000_000, 100, 100)
    watch = MemoryWatch(plan, lambda: next(sizes), buffers, lambda: {"requests": 7}, log)
    for _ in range(6):
        watch.measured()
    events = [(event, fields["now_mb"], fields["uses"]) for event, fields in log.lines]
    uses = {"requests": 7}
    assert events == [
        ("memory short", 91.0, uses),
        ("memory sufficient", 84.0, uses),
        ("memory short", 92.0, uses),
    ]
    assert watch.figures() == {"limit_mb": 100.0, "start_mb": 50.0, "now_mb": 92.0, "peak_mb": 95.0}
    assert watch.counts == {"memory short": 2}


def test_the_resident_memory_is_the_systems_figure(tmp_path):
    """An account of our own would not show what the allocator keeps."""
    memory = ResidentMemory()
    before = memory.read_bytes()
    with mmap.mmap(-1, HELD_BYTES) as held:  # own pages; a large process has freed ones
        for offset in range(0, HELD_BYTES, mmap.PAGESIZE):
            held[offset] = 1
        assert memory.read_bytes() - before > 0.9 * HELD_BYTES
    memory.close()
    assert memory.read_bytes() == 0


def test_where_the_system_has_no_such_file_the_figure_is_0(tmp_path):
    """A front end must start there too."""
    assert ResidentMemory(str(tmp_path / "none")).read_bytes() == 0
    (tmp_path / "odd").write_text("what")
    assert ResidentMemory(str(tmp_path / "odd")).read_bytes() == 0
