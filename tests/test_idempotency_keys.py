"""Whose answer a trigger with an idempotency key gets: real processes, two customers with equal ids."""

import pytest
from deployments import Deployment

SLOW_S = 1.5  # the first trigger is still open when the second one comes


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    made = Deployment(tmp_path_factory.mktemp("deployment"))
    try:
        made.start_worker()
        made.start_front_end("front-0")
        made.start_front_end("front-1")
        yield made
    finally:
        made.close()


@pytest.mark.parametrize("second_front", ["front-0", "front-1"])
def test_customers_with_the_same_source_and_id_get_their_own_answers_while_the_first_is_open(
    deployment, second_front
):
    """Guard against a customer who reads another one's answer by sending its source and id."""
    id = f"open-{second_front}"
    first, second = deployment.at_once(
        {"asked": {"account": "north-1", "work_s": SLOW_S}, "id": id, "customer": "north"},
        {"asked": {"account": "south-7"}, "id": id, "customer": "south", "front": second_front},
    )
    assert (first.status, first.account) == (200, "north-1")
    assert (second.status, second.account) == (200, "south-7")


def test_customers_with_the_same_source_and_id_get_their_own_answers_after_the_first_is_answered(deployment):
    """Guard against an answer that is laid down under another customer's source and id in advance."""
    planted = deployment.post({"account": "south-8"}, id="planted", customer="south")
    own = deployment.post({"account": "north-2"}, id="planted", customer="north")
    assert (planted.account, own.status, own.account) == ("south-8", 200, "north-2")


@pytest.mark.parametrize("second_front", ["front-0", "front-1"])
def test_the_same_key_with_another_body_is_a_conflict_while_the_first_is_open(deployment, second_front):
    """Guard against the answer to one call that is given for another call under a key used twice."""
    id = f"conflict-{second_front}"
    first, second = deployment.at_once(
        {"asked": {"account": "north-1", "work_s": SLOW_S}, "id": id},
        {"asked": {"account": "north-9"}, "id": id, "front": second_front},
    )
    assert (first.status, first.account) == (200, "north-1")
    assert second.status == 409 and second.headers["petrelway-outcome"] == "conflict"
    assert second.headers["content-type"] == "application/problem+json" and b"north-1" not in second.body


def test_the_same_key_with_another_body_is_a_conflict_after_the_first_is_answered(deployment):
    """Guard against a remembered answer that is given for another call."""
    assert deployment.post({"account": "north-1"}, id="answered").status == 200
    assert deployment.post({"account": "north-9"}, id="answered").status == 409


def test_a_repeat_with_the_same_body_gets_the_answer_of_the_first_run(deployment):
    """Guard against a check so strict that a true repeat runs again or is refused."""
    first, attached = deployment.at_once(
        {"asked": {"account": "north-3", "work_s": SLOW_S}, "id": "repeated"},
        {"asked": {"account": "north-3", "work_s": SLOW_S}, "id": "repeated", "front": "front-1"},
    )
    later = deployment.post({"account": "north-3", "work_s": SLOW_S}, id="repeated", repeat="true")
    assert first.status == 200 and first.body == attached.body == later.body


def test_no_choice_of_source_and_id_makes_two_keys_one(deployment):
    """Guard against a newline in source or id that joins two triggers under one key."""
    parted_late = deployment.post({"account": "north-4"}, source="a", id="b%0Ac")
    parted_early = deployment.post({"account": "north-5"}, source="a%0Ab", id="c")
    literal = deployment.post({"account": "north-6"}, source="a", id="b%250Ac")
    assert [reply.status for reply in (parted_late, parted_early, literal)] == [200, 200, 200]
    assert [reply.account for reply in (parted_late, parted_early, literal)] == [
        "north-4",
        "north-5",
        "north-6",
    ]
