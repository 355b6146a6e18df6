"""Sockets whose system calls may fail for a moment: listeners, datagram ports, the reactor, the start."""
