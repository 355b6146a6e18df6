"""Background work with priorities and budgets: everything that is no request."""
