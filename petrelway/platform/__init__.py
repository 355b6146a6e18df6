"""The operators' platform protocol, without I/O.

Client lines, executor frames, discovery events, configuration.
"""
