"""Simulated processes write no log lines during tests."""

import pytest

from cranklane_lab.simulate import quiet


@pytest.fixture(autouse=True, scope="session")
def _quiet_logs():
    quiet()
