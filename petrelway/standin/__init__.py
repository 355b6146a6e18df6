"""Scripted stand-ins on loopback: executors, store, roster, clients. None of them uses the module."""
