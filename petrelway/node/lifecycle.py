"""Graceful shutdown of a front end on the platform: the drain that SIGTERM starts.

`commands/node.py` turns SIGTERM into `NodeService.stopService`, which runs `GracefulShutdown`: clients are
still accepted for a short time, then the listener closes, new requests are rejected, open ones are answered
within their own deadline, and the last answers are flushed. Times in ms.
"""

from __future__ import annotations

from twisted.internet import defer, interfaces

from ..gateway.dispatcher import Dispatcher
from ..sockets.listening import Listener
from .client_connection import ABORT_TIMEOUT_MS
from .client_listener import ClientListener

ACCEPT_AFTER_SIGTERM_MS = 700.0  # time for which clients are still accepted
DEADLINE_MARGIN_MS = 100.0  # the drain waits for answers until this long after the longest deadline
PARTIAL_LINE_CHECK_MS = 50.0  # interval of the checks whether clients have completed their lines
FLUSH_TIMEOUT_MS = ABORT_TIMEOUT_MS + 250.0  # time for the transports to send the last answers


class GracefulShutdown:
    """Drains one front end; whatever is still open or unflushed afterwards has been logged."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        log,
        dispatcher: Dispatcher,
        client_listener: ClientListener,
        port: interfaces.IListeningPort,
        longest_deadline_ms: float,
    ) -> None:
        """Set up the drain of the given parts; the owner closes them afterwards."""
        self.clock = clock
        self.log = log
        self.dispatcher = dispatcher
        self.client_listener = client_listener
        self.port = port
        self.longest_deadline_ms = longest_deadline_ms

    @defer.inlineCallbacks
    def drain(self):
        """Keep serving for a short time, then finish the open requests and flush their answers."""
        self.log.info("front end draining", open=self.dispatcher.unanswered)
        yield self._pause(ACCEPT_AFTER_SIGTERM_MS)
        yield self._stop_listening()
        drained_ms = self.clock.seconds() * 1e3
        self.client_listener.drain()
        yield self._finish_requests()
        yield self._finish_partial_lines(drained_ms)
        yield self._flush_connections()

    @defer.inlineCallbacks
    def _stop_listening(self):
        """Close the listener after the reactor has read the sockets twice.

        After a pause of this process there may be clients that wait to be accepted and requests that are
        still unread.
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
    def _finish_partial_lines(self, drained_ms: float):
        """Wait for the rest of lines that began before the drain; each gets its answer when it is complete.

        No client waits for an answer longer than for the longest deadline. The client listener itself ends
        lines that stall.
        """
        until_ms = drained_ms + self.longest_deadline_ms - DEADLINE_MARGIN_MS
        while self.client_listener.has_partial_line() and self.clock.seconds() * 1e3 < until_ms:
            yield self._pause(PARTIAL_LINE_CHECK_MS)
        self.client_listener.stop_awaiting_partial_lines()

    @defer.inlineCallbacks
    def _flush_connections(self):
        """Wait until the transports are flushed: an answer unsent when the process ends is lost."""
        closed = yield self._fires_within(self.client_listener.all_closed(), FLUSH_TIMEOUT_MS)
        if not closed:
            open_connections = len(self.client_listener.connections)
            self.log.error("connections open past their last answer", open=open_connections)

    @defer.inlineCallbacks
    def _fires_within(self, waiting: defer.Deferred, timeout_ms: float):
        """Return whether `waiting` fires before the timeout; cancel it if it does not."""
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
