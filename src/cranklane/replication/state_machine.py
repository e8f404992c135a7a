"""Interface of the state machine that a replicated log drives."""

from __future__ import annotations

from typing import Any, Protocol


class StateMachine(Protocol):
    """Deterministic state machine, changed only by applying committed commands in order.

    The result of a command must depend only on the state and the command, so that all
    replicas reach the same state.
    """

    def apply(self, command: bytes) -> Any:
        """Apply a committed command and return its answer."""

    def pack(self) -> bytes:
        """Return the encoded state for a snapshot."""

    def restore(self, state: bytes) -> None:
        """Replace the state by that of a snapshot; empty bytes are the initial state."""
