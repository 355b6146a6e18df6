"""A fixture: the system calls of one process under test."""

import pytest

from petrelway.fakes.failing_calls import FailingCalls, build


@pytest.fixture(scope="session")
def failing_library(tmp_path_factory):
    return build(tmp_path_factory.mktemp("failing"))


@pytest.fixture
def failing(failing_library, tmp_path):
    calls = FailingCalls(failing_library, tmp_path / "failing.plan")
    yield calls
    calls.close()
