"""The HTTP front for CloudEvents: requests, what they are read as, and the responses to final answers."""

from __future__ import annotations

from typing import Any

from twisted.internet import address, defer, task
from twisted.internet.testing import StringTransport
from wire_form_cases import Recorder, plain

from petrelway.gateway.answers import Answer, Completion
from petrelway.gateway.cloudevent_requests import CloudEventReader, ReceivedRequest
from petrelway.gateway.function_catalogue import FunctionCatalogue
from petrelway.gateway.function_spec import FunctionSpec
from petrelway.gateway.http_listener import HttpListener
from petrelway.routing.types import Warmth

TOPIC = "intake"
ASKS = CloudEventReader(
    {"t": 3000.0, "u": 6000.0},
    ["north", "south"],
    FunctionCatalogue([FunctionSpec("f", 100.0, 2, 0.0), FunctionSpec("station-*", 50.0, 4, 250.0)]),
)
REQUEST = (
    "POST /triggers HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\nce-specversion: 1.0\r\nce-id: 1\r\n"
    "ce-source: /gw\r\nce-type: reading\r\nce-tariff: t\r\nce-customer: north\r\nce-function: f\r\n\r\n7"
)
PASSING_HEADERS = ("server:", "date:")  # of the HTTP library and the hour


class Conversation:
    """One client's connection to an intake whose requests are answered by hand."""

    def __init__(self) -> None:
        self.taken: list[list[Any]] = []
        self.answer: defer.Deferred[Answer] = defer.Deferred()
        self.intake = HttpListener(ASKS, self._take, lambda: 0, Recorder(), reactor=task.Clock())
        self.channel = self.intake.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 1))
        self.pipe = StringTransport()
        self.channel.makeConnection(self.pipe)

    def _take(self, ask: ReceivedRequest, content_type: str, body: bytes) -> defer.Deferred[Answer]:
        self.taken.append([plain(ask), content_type, body.hex()])
        return self.answer

    def ask(self, request: str) -> Conversation:
        self.channel.dataReceived(request.encode())
        return self

    def response(self) -> str:
        """The response without the headers that pass."""
        lines = self.pipe.value().decode().split("\r\n")
        return "\r\n".join(line for line in lines if not line.lower().startswith(PASSING_HEADERS))


def written() -> dict[str, Any]:
    """The response to each final answer, and to what is not taken."""
    answers = {
        **{
            f"fulfilled.warmth-{int(warmth)}": Answer(
                Completion.SUCCEEDED, 0.0, "text/plain", b"ok", "e1", warmth
            )
            for warmth in Warmth
        },
        "fulfilled.no-type": Answer(Completion.SUCCEEDED, 0.0, "", b"", "e1"),
        "nacked": Answer(Completion.REJECTED),
        "nacked.retry": Answer(Completion.REJECTED, 1230.4),
        "broken-off": Answer(Completion.FAILED),
    }
    return {f"response.{name}": _answered(answer) for name, answer in answers.items()} | _untaken()


def _answered(answer: Answer) -> str:
    conversation = Conversation().ask(REQUEST)
    conversation.answer.callback(answer)
    return conversation.response()


def _untaken() -> dict[str, str]:
    leaving, shut, unready = Conversation(), Conversation(), Conversation()
    leaving.intake.draining = True
    shut.intake.overload_retry_ms = lambda: 230.4
    unready.intake.policy_retry_ms = lambda: 500.0
    ready_request = "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"
    return {
        "response.leaving": leaving.ask(REQUEST).response(),
        "response.shut": shut.ask(REQUEST).response(),
        "response.no-terms": unready.ask(REQUEST).response(),
        "response.ready": Conversation().ask(ready_request).response(),
        "response.not-ready": unready.ask(ready_request).response(),
    }


def decode(name: str, text: Any) -> Any:
    """What a request is taken as, or the response that refuses it; None for responses."""
    if name.startswith("response"):
        return None
    conversation = Conversation().ask(text)
    return conversation.taken or [conversation.response()]
