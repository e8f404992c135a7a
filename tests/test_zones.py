"""A request leaves its zone only for what it gains in time."""

from __future__ import annotations

from random import Random

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member
from cranklane.sidecar.request.attempt import Load
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.worker_choice import WorkerChoice

SLOTS = 20


def known(loads):
    """Return the choice of a sidecar of zone a that knows workers by zone and load."""
    destinations = Destinations(lambda: 1.0, "own")
    for number, (zone, running) in enumerate(loads):
        name = f"{zone}-{number}"
        destinations.set_own(
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
        chosen = next(item for item in destinations.members("s") if item.node == name)
        chosen.update_load(1.0, Load(running, 0, SLOTS))
    return WorkerChoice(destinations, lambda: 1.0, Random(1), "own", "a")


def chosen_zone(own_running, other_running):
    choice = known([("a", own_running), ("b", other_running)])
    return choice.choose("s", set(), 0).zone


def test_a_little_more_load_is_no_reason_to_leave_the_zone():
    assert chosen_zone(8, 6) == "a"
    assert chosen_zone(4, 2) == "a"


def test_a_nearly_full_zone_is_left_while_another_has_room():
    assert chosen_zone(18, 10) == "b"


def test_a_zone_whose_worker_is_much_more_loaded_is_left():
    assert chosen_zone(12, 2) == "b"


def test_where_all_are_full_the_own_zone_is_as_good():
    assert chosen_zone(20, 20) == "a"


def test_equals_of_the_own_zone_share_the_load():
    choice = known([("a", 5), ("a", 4), ("b", 0)])
    counts = {"a-0": 0, "a-1": 0, "b-2": 0}
    for _ in range(6):
        item = choice.choose("s", set(), 0)
        item.opened()
        counts[item.node] += 1
    assert counts["a-1"] > counts["a-0"] > 0
