"""Configures the garbage collector of a long-lived process once everything is loaded."""

import gc

COLLECTION_THRESHOLDS = (
    20_000,
    20,
    50,
)  # allocations before a collection of the youngest generation; collections before one of the next older


def configure_collector() -> None:
    """Collect once, then freeze all objects loaded at the start and set the thresholds.

    A full collection traverses all live objects, and each request waits for it. Most objects that requests
    leave behind are freed by reference counting."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
