"""Departures of workers that sidecars have acknowledged, as part of a controller's state.

A sidecar has no disk: after a restart it learns from control which starts of its worker have said
that they leave. The store changes only when committed commands are applied in log order.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from cranklane.records.messages import Departure

MAX_DEPARTURES = 16_384
"""Limit on the stored departures of all nodes; bounds memory. The oldest ones, whose workers have
ended long ago, are dropped."""

MAX_DEPARTURES_OF_NODE = 16
"""The same for one node. A worker that crashes in a loop cannot displace those of others."""


class DepartureStore:
    """Departures by node, in the order in which they were stored."""

    def __init__(self) -> None:
        self._by_node: OrderedDict[str, list[str]] = OrderedDict()
        self._positions: dict[str, int] = {}
        self._position = 0
        self._count = 0

    def of(self, node: str) -> list[str]:
        """Return the instances beside a node whose departures are stored, oldest first."""
        return list(self._by_node.get(node, ()))

    def position_of(self, node: str) -> int:
        """Return the position of the last change of a node's departures, 0 without any."""
        return self._positions.get(node, 0)

    def contains_all(self, departures: Iterable[Departure]) -> bool:
        """Return whether all of these departures are stored."""
        return all(
            departure.instance in self._by_node.get(departure.node, ()) for departure in departures
        )

    def add(self, departures: Iterable[Departure]) -> None:
        """Store departures; those that are stored already keep their place."""
        for departure in departures:
            self._add(departure.node, departure.instance)
        while self._count > MAX_DEPARTURES:
            self._drop_oldest_node()

    def _add(self, node: str, instance: str) -> None:
        instances = self._by_node.setdefault(node, [])
        self._by_node.move_to_end(node)
        if instance in instances:
            return
        instances.append(instance)
        self._count += 1
        if len(instances) > MAX_DEPARTURES_OF_NODE:
            del instances[0]
            self._count -= 1
        self._position += 1
        self._positions[node] = self._position

    def _drop_oldest_node(self) -> None:
        """Drop the departures of the node whose last departure is the oldest."""
        node, instances = self._by_node.popitem(last=False)
        del self._positions[node]
        self._count -= len(instances)

    def pack(self) -> list[Departure]:
        """Return all departures for a snapshot, those of one node together."""
        return [
            Departure(node, instance)
            for node, instances in self._by_node.items()
            for instance in instances
        ]

    def restore(self, departures: Iterable[Departure]) -> None:
        """Replace the state by that of a snapshot; all positions count as changed."""
        self._by_node.clear()
        self._positions.clear()
        self._count = 0
        self.add(departures)
