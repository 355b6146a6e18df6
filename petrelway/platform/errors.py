"""Errors raised by the codecs of the platform's protocol."""


class ProtocolError(Exception):
    """Input that the protocol does not allow; the text is logged as the reason."""
