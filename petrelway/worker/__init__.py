"""The worker runtime: an executor that loads packages into processes, runs calls and reports its memory."""
