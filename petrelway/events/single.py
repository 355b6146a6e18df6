"""One CloudEvent over HTTP, binary or structured mode, without I/O (CloudEvents 1.0.2, HTTP binding 1.0.2).

This module reads what a request needs and refuses everything else with an error that names it; batches and
the protobuf format are left to a later module. Nothing here depends on request classes or functions.
"""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Mapping
from typing import NamedTuple
from urllib.parse import unquote

import msgspec

ATTRIBUTE = re.compile(r"[a-z0-9]{1,64}\Z")
VALUE_BOUND = 1024  # characters of one attribute's value
ATTRIBUTES_BOUND = 64
STRUCTURED = "application/cloudevents+json"
REQUIRED = ("id", "source", "type")


class EventError(Exception):
    """An event that can't be accepted: HTTP status, where the fault is, what was found, what is allowed."""

    def __init__(self, status: int, where: str, found: str, allowed: str) -> None:
        super().__init__(f"{where}: found {found}; allowed: {allowed}")
        self.status, self.where, self.found, self.allowed = status, where, found, allowed


class Event(NamedTuple):
    attributes: dict[str, str]
    content_type: str
    data: bytes


def read(headers: Mapping[str, str], body: bytes) -> Event:
    """Read an event from lower-case HTTP headers and a body. Raise EventError (status 400 or 415).

    >>> event = read({"ce-specversion": "1.0", "ce-id": "7", "ce-source": "/gw", "ce-type": "reading",
    ...               "content-type": "text/plain"}, b"12")
    >>> event.attributes["id"], event.data
    ('7', b'12')
    >>> read({"content-type": "application/cloudevents+json"}, b'{"id": 1}')
    Traceback (most recent call last):
    petrelway.events.single.EventError: specversion: found nothing; allowed: '1.0'
    """
    content_type = headers.get("content-type", "")
    media = content_type.partition(";")[0].strip().lower()
    if media == STRUCTURED:
        event = _structured(body)
    elif media.startswith("application/cloudevents"):
        raise EventError(415, "content-type", repr(media), f"{STRUCTURED}, or binary mode")
    else:
        event = _binary(headers, content_type, body)
    attributes = event.attributes
    if attributes.get("specversion") != "1.0":
        found = repr(attributes["specversion"]) if "specversion" in attributes else "nothing"
        raise EventError(400, "specversion", found, "'1.0'")
    for name in REQUIRED:
        if not attributes.get(name):
            raise EventError(400, name, "nothing", "a string that is not empty")
    return event


def _binary(headers: Mapping[str, str], content_type: str, body: bytes) -> Event:
    attributes = {}
    for header, value in headers.items():
        if header.startswith("ce-"):
            name = header[3:]
            _validate_attribute(name, value)
            try:
                attributes[name] = unquote(value.strip().strip('"'), errors="strict")
            except UnicodeDecodeError as error:
                raise EventError(400, header, repr(value[:80]), "percent-encoded UTF-8") from error
    _check_attribute_count(attributes)
    return Event(attributes, content_type, body)


def _structured(body: bytes) -> Event:
    try:
        found = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise EventError(400, "body", f"no JSON ({error})", "one event as a JSON object") from error
    if not isinstance(found, dict):
        raise EventError(400, "body", type(found).__name__, "one event as a JSON object")
    if "data" in found and "data_base64" in found:
        raise EventError(400, "data_base64", "data as well", "one of data and data_base64")
    attributes = {}
    for name, value in found.items():
        if name in ("data", "data_base64") or value is None:
            continue
        if isinstance(value, bool):
            value = "true" if value else "false"
        elif isinstance(value, (int, float)):
            value = repr(value)
        elif not isinstance(value, str):
            raise EventError(400, name, type(value).__name__, "a string, a number, true or false")
        _validate_attribute(name, value)
        attributes[name] = value
    _check_attribute_count(attributes)
    content_type = attributes.pop("datacontenttype", "application/json")
    if "data_base64" in found:
        try:
            data = base64.b64decode(found["data_base64"], validate=True)
        except (binascii.Error, ValueError, TypeError) as error:
            raise EventError(400, "data_base64", "no base64", "base64 text") from error
    elif "data" not in found:
        data = b""
    elif isinstance(found["data"], str) and not _is_json(content_type):
        data = found["data"].encode()
    else:
        data = msgspec.json.encode(found["data"])
    return Event(attributes, content_type, data)


def _is_json(content_type: str) -> bool:
    media = content_type.partition(";")[0].strip().lower()
    return media.endswith("/json") or media.endswith("+json")


def _validate_attribute(name: str, value: str) -> None:
    if not ATTRIBUTE.match(name):
        raise EventError(
            400, f"attribute {name[:80]!r}", "that name", "1 to 64 lower-case letters and digits"
        )
    if len(value) > VALUE_BOUND:
        raise EventError(400, name, f"{len(value)} characters", f"{VALUE_BOUND} at most")


def _check_attribute_count(attributes: dict[str, str]) -> None:
    if len(attributes) > ATTRIBUTES_BOUND:
        raise EventError(400, "attributes", f"{len(attributes)}", f"{ATTRIBUTES_BOUND} at most")
