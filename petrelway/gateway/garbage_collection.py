"""How a long-lived process's garbage collector is set once all is loaded."""

import gc

COLLECT = (20_000, 20, 50)  # allocations before a young collection, and how many make the next older


def settle() -> None:
    """Danger: a full collection walks all that lives, and each request waits for it; what was loaded at the
    start stays for good, and what requests leave behind is mostly freed by its counts."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT)
