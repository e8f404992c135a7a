"""Addresses derived from other addresses."""

from __future__ import annotations

from cranklane.runtime.interface import format_address, parse_address


def peer_addresses(seeds: list[str], port: int) -> list[str]:
    """Return where the controllers of some operators' addresses listen for each other.

    >>> peer_addresses(["10.0.0.1:80"], 7000)
    ['10.0.0.1:7000']
    """
    return [format_address((parse_address(seed)[0], port)) for seed in seeds]
