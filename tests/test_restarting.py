"""Tasks that others rely on start again after an unexpected exception."""

from __future__ import annotations

import gevent
import pytest

from cranklane.errors import InvariantError
from cranklane.runtime.restarting import FAILURES, RESTART_PAUSE_SECONDS, run_restarting
from cranklane_lab.simulation.world import simulate
from test_request_timeline import captured_lines


def delay(_source, _target):
    return 0.0005


def test_a_task_that_raises_starts_again_until_it_returns(capsys):
    """Guards against a task that ends silently while its process goes on without it."""
    began = []

    def scenario(world):
        process = world.process("p", "a")

        def task(name):
            began.append((name, round(world.loop.now(), 3)))
            if len(began) < 3:
                raise KeyError("unexpected")

        count = FAILURES.count
        process.spawn_restarting(task, "x").join()
        return FAILURES.count - count, len(world.loop.task_errors)

    with captured_lines() as lines:
        assert simulate(1, delay, scenario) == (2, 2)
    assert [name for name, _ in began] == ["x"] * 3
    assert began[2][1] - began[0][1] == pytest.approx(2 * RESTART_PAUSE_SECONDS)
    assert sum('"task_failed"' in line for line in lines) == 2
    capsys.readouterr()


def test_a_broken_invariant_and_an_end_of_the_process_are_no_restart():
    """Guards against a process that goes on with a state that cannot be."""

    def broken():
        raise InvariantError("broken")

    with pytest.raises(InvariantError):
        run_restarting(broken)
    with pytest.raises(gevent.GreenletExit):
        run_restarting(lambda: (_ for _ in ()).throw(gevent.GreenletExit()))
