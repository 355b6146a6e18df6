"""A handler that records the calls of the platform's codecs."""


class Recorder:
    """A handler for all codecs: the calls, in order."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *what: self.calls.append((name, *what))
