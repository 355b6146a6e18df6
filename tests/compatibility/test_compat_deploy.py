"""The file by which the platform builds and runs the program: its keys, and that what it names exists."""

from __future__ import annotations

import re
import tomllib

from forms_values import ROOT, read_form

DEPLOYMENT = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))
PINNED = read_form("deploy/balancer.json")


def test_the_deployment_has_the_pinned_keys_and_types():
    assert {key: type(value).__name__ for key, value in DEPLOYMENT.items()} == PINNED["keys"]


def test_each_listed_path_exists():
    for key in PINNED["paths"]:
        assert DEPLOYMENT[key]
        for path in DEPLOYMENT[key]:
            assert (ROOT / path).exists(), path


def test_the_node_is_run_by_the_pinned_words():
    assert DEPLOYMENT["run"].endswith(PINNED["run ends in"])


def test_the_simulator_side_runs_a_package_of_the_program():
    found = re.fullmatch(re.escape(PINNED["sim begins with"]) + r"([a-z_]+)", DEPLOYMENT["sim"])
    assert found, DEPLOYMENT["sim"]
    assert (ROOT / "petrelway" / found[1] / "__main__.py").is_file()
