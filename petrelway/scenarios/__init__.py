"""Rehearsals: scripted days played by processes of their own on loopback, recorded and judged."""
