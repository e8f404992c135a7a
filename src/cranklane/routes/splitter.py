"""Weighted distribution of a route's requests over services."""

from __future__ import annotations

from cranklane.routes.table import Route


class Splitter:
    """Smooth weighted round robin for each route.

    Unlike random choice, keeps each service within one request of its share over any sequence of
    requests.
    """

    def __init__(self, phase: float = 0.0) -> None:
        """:param phase: position in the cycle at which a route starts, 0 to 1. Differs between
        machines, so that their requests together also keep the shares."""
        self._phase = phase
        self._current_weights: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        current = self._current_weights.get(route.name)
        services = {share.service for share in route.shares}
        if current is None or current.keys() != services:
            current = self._start_weights(route)
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            current[share.service] += share.weight
        chosen = max(route.shares, key=lambda share: current[share.service]).service
        current[chosen] -= total
        return chosen

    def _start_weights(self, route: Route) -> dict[str, float]:
        total = sum(share.weight for share in route.shares)
        first = route.shares[0].service
        current = {share.service: 0.0 for share in route.shares}
        # Shifts the cycle; the weights must sum to zero.
        shift = self._phase * total
        current[first] += shift
        for share in route.shares[1:]:
            current[share.service] -= shift / (len(route.shares) - 1)
        self._current_weights[route.name] = current
        return current
