"""Random faults and every schedule of one fault, with mutants of the code that have to be found."""

import msgspec
import pytest

from petrelway.emulator import policy_model
from petrelway.emulator.random_policy_faults import play
from petrelway.policy import (
    change_coordinator,
    policy_member,
)
from petrelway.policy.policy_holder import PolicyHolder


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_random_faults_break_no_invariant_and_a_change_is_adopted_after(first):
    for seed in range(first, first + 20):
        played = play(seed)
        assert played.breaches == [], seed
        assert played.back, seed


def no_promise(patch):
    inner = PolicyHolder.prepare

    def prepare_without_end(self, now, message):
        response = inner(self, now, message)
        if self.promise is not None:
            self.promise = self.promise._replace(until_ms=1e18)
        return response

    patch.setattr(PolicyHolder, "prepare", prepare_without_end)


def sent_before_persisted(patch):
    def next_action(self, now):
        self._turn(now)
        while self.actions:
            at = next((i for i, d in enumerate(self.actions) if isinstance(d, policy_member.SendMessage)), 0)
            d = self.actions[at]
            del self.actions[at]
            if isinstance(d, policy_member.SendMessage) and d.to in (self.name, ""):
                if d.to:
                    self.receive(now, self.name, self.token, d.message)
                    self._turn(now)
                continue
            return d
        return None

    patch.setattr(policy_member.PolicyMember, "next_action", next_action)


def no_wait(patch):
    inner = change_coordinator.ChangeCoordinator._decide

    def decide(self, now):
        with pytest.MonkeyPatch.context() as inside:
            inside.setattr(change_coordinator, "PROMISE_MS", 0.0)
            inner(self, now)

    patch.setattr(change_coordinator.ChangeCoordinator, "_decide", decide)


def stale_plan(patch):
    inner = change_coordinator.ChangeCoordinator.request_change

    def request_change(self, now, request):
        version = self.raft.state.version
        return inner(self, now, msgspec.structs.replace(request, base=max(request.base, version)))

    patch.setattr(change_coordinator.ChangeCoordinator, "request_change", request_change)


def any_proof(patch):
    inner = change_coordinator.ChangeCoordinator.reason_to_proceed
    patch.setattr(
        change_coordinator.ChangeCoordinator,
        "reason_to_proceed",
        lambda self, now, name, member: "gone" if member.gone_ms > -1e18 else inner(self, now, name, member),
    )


def no_lease(patch):
    patch.setattr(change_coordinator, "LEASE_EXPIRED_AFTER_MS", 1000.0)


def notifies_at_once(patch):
    patch.setattr(change_coordinator.ChangeCoordinator, "in_force_ms", lambda self: -1e18)


def only_timers_change_over(patch):
    def admitting_policy(self, now):
        holder = self.holder
        idle = holder.awaiting_policy or holder.unusable_reason
        return (None, 1.0) if idle else (holder.policy, 0.0)

    patch.setattr(policy_member.PolicyMember, "admitting_policy", admitting_policy)


# mutant -> a play that finds it
MUTANT_SEEDS = [
    (no_promise, 1),
    (sent_before_persisted, 28),
    (no_wait, 0),
    (stale_plan, 0),
    (any_proof, 3),
    (no_lease, 2),
    (notifies_at_once, 3),
    (only_timers_change_over, 1),
]


@pytest.mark.parametrize("mutant, seed", MUTANT_SEEDS, ids=lambda x: getattr(x, "__name__", x))
def test_random_faults_find_what_is_broken_on_purpose(mutant, seed, monkeypatch):
    mutant(monkeypatch)
    assert play(seed).breaches


def not_of_the_second_holder(fault):
    return fault[1] != 3  # the two members that keep nothing differ in their clocks only


def test_every_schedule_of_one_fault_holds():
    found = policy_model.explore(policy_model.beginning(), 20, 1, wanted=not_of_the_second_holder)
    assert found.broken == "" and found.runs > 500 and found.depth == 20


@pytest.mark.parametrize("mutant", [no_promise, no_wait, notifies_at_once, only_timers_change_over])
def test_the_explorer_finds_what_is_broken_on_purpose(mutant, monkeypatch):
    mutant(monkeypatch)
    found = policy_model.explore(policy_model.beginning(), 20, 1)
    assert "takes under version 0" in found.broken and found.way
