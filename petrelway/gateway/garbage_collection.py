"""How a long-lived process's garbage collector is set once all is loaded."""

import gc

COLLECTION_THRESHOLDS = (
    20_000,
    20,
    50,
)  # allocations before a young collection, and how many make the next older


def settle() -> None:
    """Collect once and freeze what was loaded at the start.

    A full collection walks all that lives, and each request waits for it; what requests leave behind is
    mostly freed by its reference counts."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
