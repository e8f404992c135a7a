"""How many calls the runs of a route make, learned from those that ended well.

From it follows how many calls a run still needs, and therefore how likely its call tree is to
succeed while a service refuses requests (``routing/retry_value``).
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

NEW_RUN_WEIGHT = 0.1
"""Weight of the newest run in the moving averages. A route that changes the number of its calls is
known again after about 20 runs."""

ASSUMED_CALLS_LEFT = 2.0
"""Calls that a run is assumed to still need while no run of its route has ended well. With 1, all
runs would look like those that are about to end, and get the tokens of these."""

MAX_ROUTES = 4096
"""Routes that are remembered; beyond this limit all are forgotten. Bounds memory."""

_NO_CALLS: Mapping[str, int] = {}


class RouteCalls:
    """Moving averages over the runs of one route.

    :ivar tolerance: fraction of the runs with a failed call that ended well nevertheless.
    """

    __slots__ = ("_means", "tolerance")

    def __init__(self) -> None:
        self._means: dict[str, float] | None = None
        self.tolerance = 0.0

    @property
    def known(self) -> bool:
        """Whether a run of the route has ended well."""
        return self._means is not None

    def learn(self, completed: Mapping[str, int], succeeded: bool, call_failed: bool) -> None:
        """Take in a run that has ended.

        :param completed: number of its calls that succeeded, by service.
        :param call_failed: whether one of its calls failed.
        """
        if call_failed:
            self.tolerance += NEW_RUN_WEIGHT * (succeeded - self.tolerance)
        if not succeeded:
            return
        means = self._means
        if means is None:
            self._means = {service: float(count) for service, count in completed.items()}
            return
        for service in completed.keys() - means.keys():
            means[service] = 0.0
        for service, mean in means.items():
            means[service] = mean + NEW_RUN_WEIGHT * (completed.get(service, 0) - mean)

    def needed(
        self, called: str, completed: Mapping[str, int] = _NO_CALLS
    ) -> Iterator[tuple[str, float]]:
        """Iterate over services and the number of calls to each that a run still needs.

        :param called: service of a call in progress, of which at least one is needed.
        :param completed: number of the run's calls that succeeded, by service.

        >>> calls = RouteCalls()
        >>> list(calls.needed("stock", {"stock": 1}))
        [('stock', 2.0)]
        >>> calls.learn({"stock": 4, "price": 1}, succeeded=True, call_failed=False)
        >>> list(calls.needed("stock", {"stock": 1}))
        [('stock', 3.0), ('price', 1.0)]
        >>> list(calls.needed("stock", {"stock": 7, "price": 1}))
        [('stock', 1.0)]
        """
        means = self._means
        if means is None:
            yield called, ASSUMED_CALLS_LEFT
            return
        yield called, max(1.0, means.get(called, 0.0) - completed.get(called, 0))
        for service, mean in means.items():
            left = mean - completed.get(service, 0)
            if service != called and left > 0.0:
                yield service, left


class CallCounts:
    """The calls of all routes that the local worker runs."""

    def __init__(self) -> None:
        self._routes: dict[str, RouteCalls] = {}

    def of(self, route: str) -> RouteCalls:
        """Return the call counts of a route; runs in progress share it with later ones."""
        calls = self._routes.get(route)
        if calls is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            calls = self._routes[route] = RouteCalls()
        return calls
