"""What a call's child calls inherit, kept by the node while its worker runs the call.

Owns the contexts of running calls and their tokens: a token is the only thing by which a
worker's child call is known to belong to a call.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cranklane.node.allowance import Allowance
from cranklane.outcome import Criticality, Reason

MAX_DEPTH = 32
"""Deepest call tree; a loop in the call graph ends here. A choice: more than twice the depth of
14 that is designed for."""

_TOKEN_BITS = 128
"""Random bits of a context token. A choice: it cannot be guessed."""


@dataclass(slots=True, eq=False)
class CallContext:
    """One call being run: what its child calls inherit.

    :ivar root: number of the root request, for logs and traces.
    :ivar tenant: tenant of the root request; its share is charged at every hop.
    :ivar deadline: monotonic second after which nobody waits.
    :ivar depth: calls between the root request and this one.
    :ivar token: unguessable name that the worker copies into its child calls.
    :ivar cancelled: why nobody waits any more, or None.
    :ivar failed: child calls that failed, so that another try of one counts as a retry.
    """

    root: int
    tenant: str
    criticality: Criticality
    deadline: float
    allowance: Allowance
    depth: int = 0
    token: str = ""
    cancelled: Reason | None = None
    failed: set[tuple[str, str, str]] = field(default_factory=set)
    _on_cancel: dict[int, Callable[[Reason], None]] = field(default_factory=dict)
    _next_hook: int = 0

    def on_cancel(self, action: Callable[[Reason], None]) -> int:
        """Run an action when the call is cancelled; return its number."""
        self._next_hook += 1
        self._on_cancel[self._next_hook] = action
        return self._next_hook

    def forget(self, hook: int) -> None:
        """Drop an action by its number."""
        self._on_cancel.pop(hook, None)

    def cancel(self, reason: Reason) -> None:
        """Cancel the call and all child calls below it."""
        if self.cancelled is not None:
            return
        self.cancelled = reason
        actions = list(self._on_cancel.values())
        self._on_cancel.clear()
        for action in actions:
            action(reason)


class ContextTable:
    """The contexts of calls the worker is running, by token."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._contexts: dict[str, CallContext] = {}

    def add(self, context: CallContext) -> None:
        """Give the context a token and keep it."""
        context.token = f"{self._random.getrandbits(_TOKEN_BITS):032x}"
        self._contexts[context.token] = context

    def find(self, token: str) -> CallContext | None:
        """Return the context of a token, or None when no running call has it."""
        return self._contexts.get(token)

    def remove(self, context: CallContext) -> None:
        """Forget a context; its token is not valid any more."""
        self._contexts.pop(context.token, None)
