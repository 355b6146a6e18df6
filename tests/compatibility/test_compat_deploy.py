"""The file by which the platform builds and runs the program: its keys, and that what it names exists."""

from __future__ import annotations

import importlib.util
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


def test_each_command_runs_the_pinned_module():
    for key, words in PINNED["commands"].items():
        assert DEPLOYMENT[key] == words
        [module] = re.findall(r"python -m (\S+)", words)
        assert importlib.util.find_spec(module)
        assert importlib.util.find_spec(f"{module}.__main__")
