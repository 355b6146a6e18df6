"""The Twisted protocol of one connection to an executor; `ExecutorChannel` owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..wire import codec
from ..wire.framing import Frames, WireError
from .channel_base import BUFFER_BYTES

if TYPE_CHECKING:
    from .executor_channel import ExecutorChannel


@implementer(interfaces.IPushProducer)
class ExecutorProtocol(protocol.Protocol):
    """Reads and writes frames; as a push producer it is paused when the transport's buffer is full."""

    def __init__(self, channel: ExecutorChannel) -> None:
        self.channel = channel
        self.frames = Frames()
        self.paused = False

    def connectionMade(self) -> None:
        """Set the transport's options and hand the connection to the channel."""
        for name in ("setTcpNoDelay", "setTcpKeepAlive"):
            getattr(self.transport, name, lambda _: None)(True)
        if hasattr(self.transport, "bufferSize"):
            self.transport.bufferSize = BUFFER_BYTES
        self.transport.registerProducer(self, True)
        self.channel.connection_made(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass each message to the channel; close a connection that sends anything invalid."""
        try:
            for payload in self.frames.feed(data):
                codec.from_executor(payload, self.channel)
        except WireError as error:
            self.channel.protocol_failed(str(error))
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Report the end of the connection to the channel."""
        self.channel.connection_lost(self, reason)

    def pauseProducing(self) -> None:
        """Stop writing: the transport's buffer is full."""
        self.paused = True
        self.channel.writing_paused()

    def resumeProducing(self) -> None:
        """Go on writing: the transport's buffer has space again."""
        self.paused = False
        self.channel.writing_resumed()

    def stopProducing(self) -> None:
        """Stop writing for good: the transport accepts no more bytes."""
        self.paused = True
