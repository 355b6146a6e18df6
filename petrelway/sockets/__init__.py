"""Sockets as the system gives them: calls that fail for a moment, listeners and datagrams that stay."""
