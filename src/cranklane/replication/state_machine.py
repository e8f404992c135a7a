"""The state machine that a replicated log drives, as its store implements it."""

from __future__ import annotations

from typing import Any, Protocol


class StateMachine(Protocol):
    """State that changes only by applying committed commands in order.

    Applying must depend on nothing but the state and the command, so that every
    replica comes to the same state.
    """

    def apply(self, command: bytes) -> Any:
        """Apply a committed command and return its answer."""

    def pack(self) -> bytes:
        """Return the whole state for a snapshot."""

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot's; empty bytes are the first state."""
