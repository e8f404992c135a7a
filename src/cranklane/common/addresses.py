"""Derives the addresses of controllers from their seeds."""

from __future__ import annotations

from cranklane.runtime.interface import format_address, parse_address


def peer_addresses(seeds: list[str], port: int) -> list[str]:
    """Return the peer addresses of the controllers at the given seed addresses.

    :param seeds: ``host:port`` of each controller's operator API.
    :param port: port on which every controller accepts peers and sidecars.

    >>> peer_addresses(["10.0.0.1:80"], 7000)
    ['10.0.0.1:7000']
    """
    return [format_address((parse_address(seed)[0], port)) for seed in seeds]
