"""Scripted stand-ins on loopback: executors, store, registry, clients. None of them uses the module."""
