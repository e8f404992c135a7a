"""Divides a route's requests between services by weight."""

from __future__ import annotations

from cranklane.routes.table import Route


class Splitter:
    """Smooth weighted round robin for each route.

    Over any stretch of requests each service is within one request of its
    share, which a random draw would not be over a few hundred.
    """

    def __init__(self, start: float = 0.0) -> None:
        """:param start: where in its cycle a route begins, 0 to 1; different on
        each machine, so that many of them together also keep the shares."""
        self._start = start
        self._current: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        current = self._current.get(route.name)
        services = {share.service for share in route.shares}
        if current is None or current.keys() != services:
            current = self._begin(route)
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            current[share.service] += share.weight
        chosen = max(route.shares, key=lambda share: current[share.service]).service
        current[chosen] -= total
        return chosen

    def _begin(self, route: Route) -> dict[str, float]:
        total = sum(share.weight for share in route.shares)
        first = route.shares[0].service
        current = {share.service: 0.0 for share in route.shares}
        # A shift of the whole cycle, which leaves the sum at zero.
        shift = self._start * total
        current[first] += shift
        for share in route.shares[1:]:
            current[share.service] -= shift / (len(route.shares) - 1)
        self._current[route.name] = current
        return current
