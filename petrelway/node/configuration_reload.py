"""Reload of the configuration on SIGHUP: only the event bus's endpoint is taken from the new one.

`commands/node.py` turns SIGHUP into `NodeService.reload`. Reading a file that can't be read is retried, since
the file may be being replaced at this moment. The configuration of another deployment is rejected as a whole:
it would lead to another tenant's executors, and its zones and machine types mean something else here. Times
in ms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import interfaces

from ..platform.configuration import Configuration, Endpoint, read_configuration
from ..platform.errors import ProtocolError

READ_ATTEMPTS = 50
READ_RETRY_MS = 100.0


class DeploymentIdentity(NamedTuple):
    """What a configuration can't change while the front end runs: its owner's identity and all names."""

    name: str
    address: str
    port: int
    request_classes: list[str]
    tenants: list[str]
    zones: list[str]
    machines: list[str]


def deployment_identity(configuration: Configuration) -> DeploymentIdentity:
    """Return the identity of the deployment that a configuration belongs to."""
    terms = configuration.terms
    return DeploymentIdentity(
        configuration.name,
        configuration.address,
        configuration.port,
        terms.request_class_names,
        terms.tenant_names,
        terms.zones,
        terms.machines,
    )


class ConfigurationReloader:
    """Reads the configuration again and passes on the event bus's endpoint."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        log,
        current: Configuration,
        read: Callable[[], bytes],
        use_event_bus: Callable[[Endpoint], None],
        is_stopping: Callable[[], bool],
    ) -> None:
        """`read` returns the file's bytes and raises OSError; `use_event_bus` receives the endpoint."""
        self.clock = clock
        self.log = log
        self.current = current
        self.read = read
        self.use_event_bus = use_event_bus
        self.is_stopping = is_stopping
        self.counts: Counter[str] = Counter()
        self.rejection_reason = ""  # why the last configuration was rejected; empty if it was accepted
        self.retry_call = None

    def reload(self) -> None:
        """Read the configuration now."""
        self.cancel_retry()
        self._read(READ_ATTEMPTS)

    def cancel_retry(self) -> None:
        """Cancel a scheduled retry."""
        if self.retry_call is not None and self.retry_call.active():
            self.retry_call.cancel()

    def _read(self, attempts_left: int) -> None:
        try:
            configuration = self._read_same_deployment()
        except OSError as error:
            self.counts["unreadable"] += 1
            self._log_rejection(str(error))
            if attempts_left > 1 and not self.is_stopping():
                self.retry_call = self.clock.callLater(READ_RETRY_MS / 1e3, self._read, attempts_left - 1)
            return
        except ProtocolError as error:
            self.counts["rejected"] += 1
            self._log_rejection(str(error))
            return
        if not self.is_stopping():
            self._apply(configuration)

    def _read_same_deployment(self) -> Configuration:
        configuration = read_configuration(self.read())
        if deployment_identity(configuration) != deployment_identity(self.current):
            raise ProtocolError(
                "found another deployment's name, listen address, request classes, tenants, zones or"
                " machine types; allowed: the same ones as at the start"
            )
        return configuration

    def _apply(self, configuration: Configuration) -> None:
        self.counts["reloaded"] += 1
        self.rejection_reason = ""
        self.log.info("configuration reloaded", bus=str(configuration.event_bus))
        settings_changed = configuration.terms != self.current.terms
        if settings_changed and not self.counts["changed settings"]:
            self.log.warning("changed settings need a restart")
        self.counts["changed settings"] += settings_changed
        self.use_event_bus(configuration.event_bus)

    def _log_rejection(self, reason: str) -> None:
        """Log a rejection, unless its reason is the same as that of the last one."""
        if reason != self.rejection_reason:
            self.rejection_reason = reason
            self.log.error("configuration rejected", reason=reason)
