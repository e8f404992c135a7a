"""Simulated processes write no log lines during tests; tests that are known red may fail."""

import pytest

from cranklane_lab.simulate import quiet
from known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]


@pytest.fixture(autouse=True, scope="session")
def _quiet_logs():
    quiet()
