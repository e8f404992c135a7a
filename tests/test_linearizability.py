"""The linearizability checker accepts valid histories and rejects others."""

from cranklane_lab.scenarios.linearizability import NO_RESPONSE, Operation, is_linearizable


def step(state, operation):
    kind, value = operation.invocation
    if kind == "write":
        return [value]
    return [state] if operation.response == state else []


def write(started, ended, value):
    return Operation(started, ended, ("write", value))


def read(started, ended, value):
    return Operation(started, ended, ("read", None), value)


def test_reads_after_writes_are_linearizable():
    assert is_linearizable([write(0, 1, 1), read(2, 3, 1), write(4, 5, 2), read(6, 7, 2)], 0, step)


def test_a_stale_read_is_rejected():
    assert not is_linearizable([write(0, 1, 1), read(2, 3, 0)], 0, step)


def test_overlapping_operations_may_take_either_order():
    assert is_linearizable([write(0, 5, 1), read(1, 2, 0), read(3, 4, 1)], 0, step)
    assert not is_linearizable([write(0, 5, 1), read(1, 2, 1), read(3, 4, 0)], 0, step)


def test_a_write_without_a_response_may_take_effect_late_or_never():
    lost = write(0, NO_RESPONSE, 1)
    assert is_linearizable([lost, read(5, 6, 0)], 0, step)
    assert is_linearizable([lost, read(5, 6, 0), read(7, 8, 1)], 0, step)
    assert not is_linearizable([lost, read(5, 6, 1), read(7, 8, 0)], 0, step)
