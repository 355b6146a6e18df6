"""SIGTERM begins the drain here: the graceful shutdown of a front end on the platform.

`commands/node.py` turns SIGTERM into `NodeService.stopService`, which runs `GracefulShutdown`: clients are
still accepted for a moment, then the listener closes, new requests are rejected, open ones are answered
within their own deadline, and the last answers are flushed. Times in ms.
"""

from __future__ import annotations

from twisted.internet import defer, interfaces

from ..gateway.dispatcher import Dispatcher
from ..sockets.listening import Listener
from .client_connection import ABORT_TIMEOUT_MS
from .client_listener import ClientListener

ACCEPT_AFTER_SIGTERM_MS = 700.0  # clients are still accepted for so long
DEADLINE_MARGIN_MS = 100.0  # answers are waited for this long past the longest deadline
FLUSH_TIMEOUT_MS = ABORT_TIMEOUT_MS + 250.0  # for the last answers to leave their transports


class GracefulShutdown:
    """Drains one front end; afterwards nothing is open or unflushed, or that was logged."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        log,
        dispatcher: Dispatcher,
        client_listener: ClientListener,
        port: interfaces.IListeningPort,
        longest_deadline_ms: float,
    ) -> None:
        """Take the parts that are drained; the owner closes them afterwards."""
        self.clock = clock
        self.log = log
        self.dispatcher = dispatcher
        self.client_listener = client_listener
        self.port = port
        self.longest_deadline_ms = longest_deadline_ms

    @defer.inlineCallbacks
    def drain(self):
        """Serve on for a moment, then answer what is open and flush it."""
        self.log.info("front end draining", open=self.dispatcher.unanswered)
        yield self._pause(ACCEPT_AFTER_SIGTERM_MS)
        yield self._stop_listening()
        self.client_listener.drain()
        yield self._finish_requests()
        yield self._flush_connections()

    @defer.inlineCallbacks
    def _stop_listening(self):
        """Close the listener after the sockets were read twice.

        After a pause of this process clients still wait to be accepted, and their requests to be read.
        """
        if isinstance(self.port, Listener):
            yield self.port.backlog_accepted()
        yield self._pause(0.0)
        yield self._pause(0.0)
        yield defer.maybeDeferred(self.port.stopListening)

    @defer.inlineCallbacks
    def _finish_requests(self):
        timeout_ms = self.longest_deadline_ms + DEADLINE_MARGIN_MS
        finished = yield self._fires_within(self.dispatcher.all_answered(), timeout_ms)
        if not finished:
            self.log.error("requests open past every deadline", open=self.dispatcher.unanswered)
            self.dispatcher.fail_all()

    @defer.inlineCallbacks
    def _flush_connections(self):
        """Wait for the transports: what is unsent when the process ends never reaches its client."""
        closed = yield self._fires_within(self.client_listener.all_closed(), FLUSH_TIMEOUT_MS)
        if not closed:
            open_connections = len(self.client_listener.connections)
            self.log.error("connections open past their last answer", open=open_connections)

    @defer.inlineCallbacks
    def _fires_within(self, waiting: defer.Deferred, timeout_ms: float):
        """Whether it fires before the timeout; it is cancelled then."""
        timer = self.clock.callLater(timeout_ms / 1e3, waiting.cancel)
        try:
            yield waiting
        except defer.CancelledError:
            return False
        finally:
            if timer.active():
                timer.cancel()
        return True

    def _pause(self, duration_ms: float) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()
        self.clock.callLater(duration_ms / 1e3, done.callback, None)
        return done
