"""What a console answers over HTTP on a small day in memory, and what the terminal's verbs print of it."""

from __future__ import annotations

import json
import re
import threading
import urllib.parse
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from click.testing import CliRunner
from forms_common import read_form
from forms_records import memory_tree
from twisted.internet import protocol

from petrelway.commands import main
from petrelway.fakes.in_memory_network import Process
from petrelway.scenarios.inmemory import CONSOLE_PORTS, MemoryDay

TOPIC = "console"
PAGES = ("service", "executors", "functions", "triggers", "changes", "members", "policy", "own")
ASKED_AT_S = 6.0  # of the day, when its faults have shown
PAGE_S = 1.0  # simulated time in which each page is whole
LIVE_S = 3.0
VERBS = {
    "status": ["status"],
    "status_json": ["status", "--json"],
    "explain": ["explain", ""],
    "explain_json": ["explain", "", "--json"],
    "members": ["members"],
    "members_json": ["members", "--json"],
}


class Browser(protocol.Protocol):
    """Sends one request and keeps what comes."""

    def __init__(self, path: str) -> None:
        self.path, self.received = path, b""

    def connectionMade(self) -> None:
        self.transport.write(f"GET {self.path} HTTP/1.1\r\nhost: x\r\n\r\n".encode())

    def dataReceived(self, data: bytes) -> None:
        self.received += data


class ConsoleDay:
    """The day with consoles, played up to the moment when its pages are asked for."""

    def __init__(self) -> None:
        self.played = MemoryDay(memory_tree(), consoles=True)
        self.process = Process(self.played.world, "browser")
        self.run_until_s = self.played.plan.epoch_ms / 1e3 + ASKED_AT_S
        self.played.world.run(self.run_until_s)

    def get(self, path: str, wait_s: float = PAGE_S) -> str:
        """The body of an answer."""
        browser, factory = Browser(path), protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: browser
        self.process.connectTCP("127.0.0.1", CONSOLE_PORTS, factory)
        self.run_until_s += wait_s
        self.played.world.run(self.run_until_s)
        return browser.received.partition(b"\r\n\r\n")[2].decode()

    def page(self, name: str) -> Any:
        """A page's JSON."""
        return json.loads(self.get(f"/{name}?format=json"))

    def live(self) -> Any:
        """The first of the live figures."""
        return json.loads(re.findall(r"data: ({.*})\n\n", self.get("/live", LIVE_S))[0])

    def metrics(self) -> list[str]:
        """The lines of the metrics, without the values."""
        lines = self.get("/metrics").splitlines()
        return sorted(line if line.startswith("#") else line.rpartition(" ")[0] for line in lines if line)


@contextmanager
def console_of_forms() -> Iterator[str]:
    """A console on loopback that answers with the pages as they were checked in; its address."""
    pages = read_form(TOPIC, "sample_pages")

    class Answer(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            body = json.dumps(pages[urllib.parse.urlsplit(self.path).path.strip("/")]).encode()
            self.send_response(200)
            self.send_header("content-length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: Any) -> None:
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Answer)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def printed(words: list[str], address: str) -> dict[str, Any]:
    """What a verb prints of a console, and its exit code."""
    result = CliRunner().invoke(main, [*words, "--console", address])
    return {"exit": result.exit_code, "printed": result.stdout}
