"""Errors raised by the codecs of the platform's protocol."""


class ProtocolError(Exception):
    """Input that the protocol does not allow; its text is the reason that is logged."""
