"""Weighted division of a route's requests among services."""

from __future__ import annotations

from random import Random

from cranklane.routes.table import Route, Share

MAX_ROUTES = 4096
"""Routes with a cycle; beyond this limit all begin anew. Bounds memory."""

_ONE_REQUEST = 1.0


class _Step:
    """Decides whether a service or one of the later ones gets a request.

    :ivar fraction: fraction of the requests decided on here that the service gets.
    :ivar due: fraction of its next request that the service has accumulated, 0 to 1.
    """

    __slots__ = ("service", "fraction", "due")

    def __init__(self, service: str, fraction: float, due: float) -> None:
        self.service = service
        self.fraction = fraction
        self.due = due

    def takes(self) -> bool:
        """Return whether the service gets this request."""
        self.due += self.fraction
        if self.due < _ONE_REQUEST:
            return False
        self.due -= _ONE_REQUEST
        return True


class _Cycle:
    """The rotation of one route through its services.

    Each service is decided on against all later ones, so the last one has no step of its own. The
    random start of each step gives each service its share of any request, over many machines.

    :ivar shares: the shares that it was made for.
    """

    __slots__ = ("shares", "_steps", "_last_service")

    def __init__(self, shares: tuple[Share, ...], random: Random) -> None:
        self.shares = shares
        weights: dict[str, int] = {}
        for share in shares:
            if share.weight:
                weights[share.service] = weights.get(share.service, 0) + share.weight
        *services, self._last_service = weights
        remaining = sum(weights.values())
        self._steps = []
        for service in services:
            self._steps.append(_Step(service, weights[service] / remaining, random.random()))
            remaining -= weights[service]

    def next(self) -> str:
        """Return the service of the next request."""
        for step in self._steps:
            if step.takes():
                return step.service
        return self._last_service


class Splitter:
    """Divides the requests of each route in proportion to the weights of its services.

    Unlike random choice, keeps each service within a few requests of its share over any sequence:
    fewer than the route has services. A service of weight 0 gets none. A change of the shares
    begins a new cycle, which depends on nothing that was before.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._cycles: dict[str, _Cycle] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        cycle = self._cycles.get(route.name)
        if cycle is None or cycle.shares != shares:
            cycle = self._begin(route)
        return cycle.next()

    def _begin(self, route: Route) -> _Cycle:
        if len(self._cycles) >= MAX_ROUTES:
            self._cycles.clear()
        cycle = self._cycles[route.name] = _Cycle(route.shares, self._random)
        return cycle
