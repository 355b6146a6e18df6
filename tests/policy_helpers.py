"""Messages, entries and holders that several tests of the policy begin from."""

from petrelway.emulator.policy_simulation import OWN, make
from petrelway.policy.document import digest
from petrelway.policy.log_entries import (
    ActivationTime,
    ChangeDecided,
    ChangeProposed,
)
from petrelway.policy.messages import (
    PolicyNotification,
    PrepareChange,
)
from petrelway.policy.policy_holder import PolicyHolder, PreparedPolicy


def proposed(id="a", base=0, document='{"n":1}'):
    return ChangeProposed(id=id, base=base, document=document, base_document=OWN, by="op", at=1.0)


DONE = ChangeDecided(activations=(), without=())


def new_holder(now=0.0, **more):
    return PolicyHolder(now, "m", 7, PreparedPolicy(0, digest(OWN), OWN), make, **more)


def notification(version=0, at=1, resolved=0, queried=0.0, document="", activation=None, term=1, token=7):
    text = digest(document) if version else digest(OWN)
    return PolicyNotification(
        term=term,
        token=token,
        state_index=at,
        resolved_index=resolved,
        version=version,
        digest=text,
        document=document,
        voters=("k0",),
        queried_ms=queried,
        activation=activation,
    )


def prepare(index=2, version=1, base=0, document='{"n":1}', by=1000.0, term=1, token=7):
    return PrepareChange(
        term=term,
        index=index,
        version=version,
        base=base,
        base_digest=digest(OWN),
        document=document,
        token=token,
        promise_until_ms=by,
        sent_ms=0.0,
    )


def activation(stop, start=None):
    return ActivationTime(name="m", token=7, stop_ms=stop, start_ms=stop if start is None else start)


STOP = '{"adoption":{"silent":"stop"}}'
