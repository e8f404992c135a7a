"""A worker that states a limit on its requests per second gets no more than it allows."""

from __future__ import annotations

import gevent

from mesh_support import play

FOUR_OF_ONE_SERVICE = ("s",) * 4 + ("t",)
REQUESTS_PER_SECOND = 150


def send_load(mesh, seconds, answers, path="/read/x", per_second=REQUESTS_PER_SECOND):
    """Send requests from all machines in turn; collect their answers."""

    def send(number):
        machine = mesh.machines[number % len(mesh.machines)]
        answers.append(mesh.request(machine, path, name=f"n{mesh.world.loop.now():.4f}-{number}"))

    for number in range(int(seconds * per_second)):
        gevent.spawn(send, number)
        gevent.sleep(1 / per_second)


def statuses(answers):
    """Return the fraction of answers with status 200."""
    return sum(answer is not None and answer.status == 200 for answer in answers) / len(answers)


def test_a_worker_gets_no_more_requests_than_its_stated_limit():
    def script(mesh):
        rules = mesh.observe_notices()
        answers = []
        send_load(mesh, 2.0, [])
        mesh.machines[0].worker.state.rate_limit = b"4"
        send_load(mesh, 10.0, answers)
        gevent.sleep(1.0)
        return rules.violations(), statuses(answers)

    violations, served = play(script, services=FOUR_OF_ONE_SERVICE, slots=20)
    assert violations == []
    assert served > 0.999
