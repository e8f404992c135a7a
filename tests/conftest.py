"""Suppresses logs of simulated processes and registers the hooks for known-red tests."""

import pytest

from cranklane_lab.simulate import quiet
from known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]


@pytest.fixture(autouse=True, scope="session")
def _quiet_logs():
    quiet()
