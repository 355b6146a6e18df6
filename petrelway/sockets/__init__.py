"""Sockets and a reactor that tolerate transient failures of system calls; signals; start retries."""
