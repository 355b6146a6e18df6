"""The configuration that the platform hands to a front end, and its deployment settings."""

import pytest

from petrelway.common.deployment_settings import DeploymentSettingsError, read_terms
from petrelway.fakes.platform_peers import SETTINGS, configuration
from petrelway.platform.configuration import read_configuration
from petrelway.platform.errors import ProtocolError
from petrelway.routing.types import Idempotency


def test_configuration():
    told = read_configuration(configuration())
    assert (told.name, told.address, told.port, told.event_bus) == (
        "n0",
        "127.0.0.1",
        8443,
        ("127.0.0.1", 7070),
    )
    assert (told.seed, told.sockets) == (0x8C1F30D27A5BE964, 256)
    assert [t.idempotency for t in told.terms.request_classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.KEYED,
        Idempotency.NON_IDEMPOTENT,
    ]
    assert (told.terms.streams, told.terms.connect_ms, told.terms.idle_ms) == (4, 250.0, 30_000.0)
    table = [
        (b"{", "not JSON"),
        (b"[]", "one object"),
        (configuration(listen="nowhere"), "listen"),
        (configuration(bus=7), "bus"),
        (configuration(listen="a:99999"), "listen"),
        (configuration(seed="xyz"), "seed"),
        (configuration(sockets=3), "limits.sockets"),
        (configuration(limits=4), "limits"),
        (configuration(settings=None), "settings"),
        (configuration(settings={}), "settings.classes"),
        (configuration(settings={**SETTINGS, "limits": {}}), "settings.limits.sendCap: found nothing"),
    ]
    for data, where in table:
        with pytest.raises(ProtocolError, match=where):
            read_configuration(data)


def without(told, *path):
    """The same settings with one key gone."""
    key, rest = path[0], path[1:]
    if not rest:
        return {k: v for k, v in told.items() if k != key}
    if type(told[key]) is list:
        return {**told, key: [without(told[key][0], *rest), *told[key][1:]]}
    return {**told, key: without(told[key], *rest)}


def test_unusable_settings_are_rejected():
    """Danger: a missing or misread setting changes decisions without a word. Found by asking the module:
    without keepS each resume is empty after a second, with sendCap -3 all is rejected."""

    def told(part=None, **more):
        if part is None:
            return {**SETTINGS, **more}
        if part == "classes":
            return {**SETTINGS, part: [{**SETTINGS[part][1], **more}, *SETTINGS[part][:1]]}
        return {**SETTINGS, part: {**SETTINGS[part], **more}}

    table = [
        ([], "settings: found"),
        (None, "settings: found"),
        ({}, "settings.classes: found nothing"),
        (told(classes=[]), "settings.classes"),
        (told(classes={"a": 1}), "settings.classes"),
        (told(classes=[7]), r"settings.classes\[0\]"),
        (told(classes=SETTINGS["classes"] * 2), "differ"),
        (told("classes", effect="odd"), r"classes\[0\].effect: found 'odd'; allowed: one of retryable"),
        (told("classes", effect=None), "effect"),
        (told("classes", dedupScope="row"), "dedupScope"),
        (told("classes", aimS="1.0"), "aimS"),
        (told("classes", aimS=-1.0), "aimS"),
        (told("classes", aimS=0), "aimS"),
        (told("classes", aimS=float("nan")), "aimS"),
        (told("classes", deadlineS=float("inf")), "deadlineS"),
        (told("classes", deadlineS=True), "deadlineS"),
        (told("classes", windowS=[4]), "windowS"),
        (told("classes", name=""), "name"),
        (told(orgs=[{"name": "a", "quotaRps": -5}]), r"orgs\[0\].quotaRps"),
        (told(orgs=[{}]), "name"),
        (told(peersTotal=0), "peersTotal"),
        (told(zone=2), "settings.zone"),
        (told(zones="east"), "zones"),
        (told("limits", sendCap=-3), "sendCap"),
        (told("limits", sendCap=1.5), "sendCap"),
        (told("limits", secondCopies="no"), "secondCopies"),
        (told("limits", multiplex=0), "multiplex"),
        (told("familyInfo", notLoaded="queue"), "notLoaded"),
        (told("familyInfo", keepS="8"), "keepS"),
        (told("invariants", startCapacity=1.2), "startCapacity"),
        (told(invariants=None), "settings.invariants"),
        *(
            (without(SETTINGS, *path), f"{path[-1]}: found nothing")
            for path in (
                ("classes", "effect"),
                ("classes", "aimS"),
                ("classes", "deadlineS"),
                ("limits", "sendCap"),
                ("limits", "cancel"),
                ("limits", "maxRetryAfterS"),
                ("limits", "connectTimeoutS"),
                ("familyInfo", "keepS"),
                ("familyInfo", "loadControl"),
                ("familyInfo", "orderTimeoutS"),
                ("familyInfo", "loadsWithinS"),
                ("invariants", "coldS"),
                ("invariants", "fallMultiple"),
                ("peersTotal",),
            )
        ),
    ]
    for settings, where in table:
        with pytest.raises(DeploymentSettingsError, match=where):
            read_terms(settings)
    assert read_terms(SETTINGS).request_classes
    # what the wire page says may be missing, and keys that it does not name
    assert read_terms(without(SETTINGS, "orgs")).tenants == []
    assert read_terms(told(later={"x": 1})) == read_terms(SETTINGS)
    assert read_terms(told(orgs=None)).tenants == []  # null stands for an absent value
    assert read_terms(told("limits", probes=None)).capabilities.probes is False
