"""The product and the baselines it is compared with."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Variant:
    """One way to run a deployment.

    :ivar without: mechanisms that are switched off.
    :ivar workers_shed: whether workers refuse what is beyond their slots, or
        queue it without bound.
    """

    name: str
    purpose: str
    without: tuple[str, ...] = ()
    workers_shed: bool = True


_ALL = (
    Variant("product", "everything on"),
    Variant(
        "unprotected",
        "no admission, three retries at each hop, workers queue without bound",
        ("admission", "early-refusal", "allowance"),
        workers_shed=False,
    ),
    Variant(
        "fixed-limit",
        "the worker's slots as a fixed limit, a queue in order of arrival, retries at each hop",
        ("adaptive-limit", "priority", "deadline-queue", "early-refusal", "allowance"),
    ),
    Variant("round-robin", "the product with members taken in turn", ("load-routing",)),
    Variant("least-of-two", "the product without preference for the own zone", ("zones",)),
)

VARIANTS = {variant.name: variant for variant in _ALL}
