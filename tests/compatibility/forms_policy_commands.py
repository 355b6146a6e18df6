"""`petrelway policy` against a console that gives checked-in answers: what it asks, sends and prints."""

from __future__ import annotations

import json
import tempfile
import threading
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
from click.testing import CliRunner
from forms_policy_files import FORMS, load

from petrelway.commands.policy import policy
from petrelway.policy.messages import ChangeRequest

TOPIC = "policy_commands"
TERMS_FILE = FORMS / "policy_document" / "after.jsonnet"
SECRET = "a-secret-of-the-console"
NOW_S = 1700000002.5
HEADERS = ("Authorization", "Content-Type")


class AnsweringConsole(BaseHTTPRequestHandler):
    """Gives the checked-in answer of each path and notes what was asked."""

    def do_GET(self) -> None:
        self.give("")

    def do_POST(self) -> None:
        self.give(self.rfile.read(int(self.headers["Content-Length"])).decode())

    def give(self, body: str) -> None:
        """Note the request and answer it."""
        sent = [self.headers[name] for name in HEADERS] if body else []
        self.server.asked.append([self.command, self.path, sent, body])
        answer = dict(load(TOPIC, "answers.json"))[self.path]
        data = json.dumps(answer).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_: Any) -> None:
        """Nothing is logged."""


@contextmanager
def console() -> Iterator[HTTPServer]:
    """A console on loopback for as long as the block lasts."""
    server = HTTPServer(("127.0.0.1", 0), AnsweringConsole)
    server.asked = []
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def run(arguments: list[str], token_file: Path) -> list[Any]:
    """Exit code, output, and requests of one command."""
    places = {"TERMS": str(TERMS_FILE), "TOKEN": str(token_file)}
    with (
        console() as server,
        mock.patch("getpass.getuser", return_value="operator"),
        mock.patch("time.time", return_value=NOW_S),
        mock.patch("uuid.uuid4", return_value=uuid.UUID(int=1 << 100)),
    ):
        at = f"127.0.0.1:{server.server_port}"
        told = [*(places.get(word, word) for word in arguments), "--console", at]
        result = CliRunner().invoke(policy, told)
    return [result.exit_code, result.output, server.asked]


def exchanges() -> list[list[Any]]:
    """Each command with its exit code, output and requests."""
    with tempfile.TemporaryDirectory() as folder:
        token_file = Path(folder, "token")
        token_file.touch(mode=0o600)
        token_file.write_text(SECRET)
        return [[command, *run(command, token_file)] for command in load(TOPIC, "commands.json")]


def wishes() -> list[str]:
    """Each change that the commands send, as the console reads it."""
    bodies = [body for _, _, _, asked in exchanges() for _, _, _, body in asked if body]
    return [msgspec.json.encode(msgspec.json.decode(body, type=ChangeRequest)).decode() for body in bodies]


FILES = {"exchanges.json": exchanges, "wishes.json": wishes}
