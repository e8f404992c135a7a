"""Contexts of running calls, from which their child calls inherit.

A worker copies a call's context token into its child calls; the token alone links them to
their parent call.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cranklane.node.allowance import Allowance
from cranklane.outcome import Criticality, Reason

MAX_DEPTH = 32
"""Largest depth of a call tree; ends loops in the call graph."""

_TOKEN_BITS = 128
"""Random bits of a context token; enough to be unguessable."""


@dataclass(slots=True, eq=False)
class CallContext:
    """Context of one call, inherited by its child calls.

    :ivar root: number of the root request, for logs and traces.
    :ivar tenant: tenant of the root request, charged at every hop.
    :ivar deadline: the call's deadline in monotonic seconds.
    :ivar depth: number of calls between the root request and this one.
    :ivar token: unguessable token that the worker copies into its child calls.
    :ivar cancelled: reason for the cancellation, or None.
    :ivar failed_targets: targets of failed child calls; calling one again counts as a retry.
    """

    root: int
    tenant: str
    criticality: Criticality
    deadline: float
    allowance: Allowance
    depth: int = 0
    token: str = ""
    cancelled: Reason | None = None
    failed_targets: set[tuple[str, str, str]] = field(default_factory=set)
    _on_cancel: dict[int, Callable[[Reason], None]] = field(default_factory=dict)
    _next_hook: int = 0

    def add_cancel_hook(self, action: Callable[[Reason], None]) -> int:
        """Register an action to run on cancellation; return its number."""
        self._next_hook += 1
        self._on_cancel[self._next_hook] = action
        return self._next_hook

    def remove_cancel_hook(self, hook: int) -> None:
        """Remove the action with this number."""
        self._on_cancel.pop(hook, None)

    def cancel(self, reason: Reason) -> None:
        """Cancel the call and its child calls; later cancellations have no effect."""
        if self.cancelled is not None:
            return
        self.cancelled = reason
        actions = list(self._on_cancel.values())
        self._on_cancel.clear()
        for action in actions:
            action(reason)


class ContextTable:
    """Contexts of the calls that the worker is running, by token."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._contexts: dict[str, CallContext] = {}

    def add(self, context: CallContext) -> None:
        """Add a context and assign it a new token."""
        context.token = f"{self._random.getrandbits(_TOKEN_BITS):032x}"
        self._contexts[context.token] = context

    def find(self, token: str) -> CallContext | None:
        """Return the context of a token, or None if no running call has it."""
        return self._contexts.get(token)

    def remove(self, context: CallContext) -> None:
        """Remove a context, which invalidates its token."""
        self._contexts.pop(context.token, None)
