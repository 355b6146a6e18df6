"""What the platform's codecs raise."""


class ProtocolError(Exception):
    """Bytes that the protocol does not allow; its text is the one reason that is said and logged."""
