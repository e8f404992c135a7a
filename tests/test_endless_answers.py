"""Answers whose head or body never ends are cut in bytes and time, and never look complete."""

from __future__ import annotations

import gevent
import pytest

from mesh_support import configure_workers, play

DEADLINE_MS = 1000
ANSWER_WITHIN_SECONDS = 1.5
"""The deadline and half a second, after which a caller must have its final answer."""

RELEASE_SECONDS = 0.5
"""Time after the end of its request within which a slot is free again."""

FLOOD_SECONDS = 0.001
TRICKLE_SECONDS = 0.4
"""Pauses between the pieces; the second is below every timeout of a single read."""


def request_during(part, pause, path, method, count=1):
    def script(mesh):
        configure_workers(
            mesh, endless_answers=count, endless_part=part, endless_pause=pause, seconds=0.0
        )
        began_at = mesh.world.loop.now()
        answer = mesh.request(mesh.machines[2], path, method, deadline_ms=DEADLINE_MS)
        seconds = mesh.world.loop.now() - began_at
        configure_workers(mesh, endless_answers=0)
        later = [mesh.request(mesh.machines[2], path, method).status for _ in range(6)]
        gevent.sleep(RELEASE_SECONDS)
        running = [machine.sidecar.gate.load.running for machine in mesh.machines]
        return answer, seconds, later, running

    return play(script)


@pytest.mark.parametrize("pause", [FLOOD_SECONDS, TRICKLE_SECONDS])
@pytest.mark.parametrize("part", ["head", "interim", "refusal"])
def test_a_head_or_refusal_without_end_is_answered_in_time_and_releases_its_slot(part, pause):
    answer, seconds, later, running = request_during(part, pause, "/sign/x", "POST", 9)
    assert answer is not None
    assert answer.status in ((503,) if part == "refusal" else (502, 504))
    assert seconds <= ANSWER_WITHIN_SECONDS
    assert later == [200] * 6
    assert sum(running) == 0


@pytest.mark.parametrize("pause", [FLOOD_SECONDS, TRICKLE_SECONDS])
def test_a_body_without_end_is_cut_at_the_deadline_and_does_not_look_complete(pause):
    answer, seconds, later, running = request_during("body", pause, "/read/x", "GET")
    assert answer is None or answer.status == 504 or not answer.whole
    assert seconds <= ANSWER_WITHIN_SECONDS
    assert later == [200] * 6
    assert sum(running) == 0


@pytest.mark.parametrize("pause", [FLOOD_SECONDS, TRICKLE_SECONDS])
def test_an_unframed_body_that_ends_with_its_worker_does_not_look_complete(pause):
    def script(mesh):
        configure_workers(mesh, endless_answers=1, endless_part="body", endless_pause=pause)
        worker = mesh.machines[2].worker
        gevent.spawn_later(0.5, worker.end)
        return mesh.request(mesh.machines[0], "/other/x", "POST")

    # The connections of an exiting process end like that of a worker that has sent everything.
    answer = play(script)
    assert answer is None or answer.status == 502 or not answer.whole
