"""Requests go to another zone only if that shortens the expected wait enough."""

from __future__ import annotations

from random import Random

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member
from cranklane.sidecar.request.attempt import Load
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.worker_choice import WorkerChoice

SLOTS = 20


def choice_among(loads):
    """Return the WorkerChoice of a sidecar in zone a.

    :param loads: zone and running requests of each worker.
    """
    destinations = Destinations(lambda: 1.0, "own")
    for number, (zone, running) in enumerate(loads):
        name = f"{zone}-{number}"
        destinations.set_local_member(
            Member(
                1,
                1,
                MemberState.LIVE,
                name,
                service="s",
                zone=zone,
                address=f"127.0.0.1:{number + 1}",
                slots=SLOTS,
            )
        )
        worker = next(worker for worker in destinations.members("s") if worker.node == name)
        worker.update_load(1.0, Load(running, 0, SLOTS))
    return WorkerChoice(destinations, lambda: 1.0, Random(1), "own", "a")


def chosen_zone(local_running, remote_running):
    choice = choice_among([("a", local_running), ("b", remote_running)])
    return choice.choose("s", set(), 0).zone


def test_a_small_load_difference_keeps_requests_in_the_zone():
    assert chosen_zone(8, 6) == "a"
    assert chosen_zone(4, 2) == "a"


def test_a_nearly_full_zone_sends_requests_to_a_zone_with_capacity():
    assert chosen_zone(18, 10) == "b"


def test_a_large_load_difference_sends_requests_to_another_zone():
    assert chosen_zone(12, 2) == "b"


def test_the_local_zone_is_preferred_when_all_zones_are_full():
    assert chosen_zone(20, 20) == "a"


def test_workers_of_the_local_zone_share_the_load():
    choice = choice_among([("a", 5), ("a", 4), ("b", 0)])
    counts = {"a-0": 0, "a-1": 0, "b-2": 0}
    for _ in range(6):
        worker = choice.choose("s", set(), 0)
        worker.record_sent()
        counts[worker.node] += 1
    assert counts["a-1"] > counts["a-0"] > 0
