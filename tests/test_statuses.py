"""Only final statuses (200 to 599) leave as answers; 1xx are interim; others are no answer."""

from __future__ import annotations

import pytest

from cranklane.common.header_names import HeaderNames
from cranklane.outcome import Outcome
from cranklane.sidecar.routing import peer_server
from cranklane.sidecar.routing.forward_records import encode_reply
from cranklane_lab.standins.routed_answers import INTEGRITY, NAMES
from mesh_support import configure_workers, play

INVALID = [b"000", b"001", b"099", b"101", b"600", b"999"]
BODY = b"answer"
PROMPT_SECONDS = 0.2
"""Time within which an invalid answer is refused; the route's timeout is 5 s."""

ENTRY_ELSEWHERE, ENTRY_AT_WORKER = 2, 0


def head(request, status, framing, extra=b""):
    lines = b"HTTP/1.1 %s Status\r\n%s: %s\r\n%s: %s\r\n%s" % (
        status,
        NAMES.request,
        request,
        NAMES.integrity,
        INTEGRITY,
        extra,
    )
    return lines + framing + b"\r\n"


FRAMINGS = {
    "length": (b"Content-Length: %d\r\n" % len(BODY), BODY),
    "no body": (b"Content-Length: 0\r\n", b""),
    "chunked": (b"Transfer-Encoding: chunked\r\n", b"6\r\n%s\r\n0\r\n\r\n" % BODY),
    "until close": (b"Connection: close\r\n", BODY),
}


def raw(status, framing="length", before=b"", after=b"", extra=b""):
    """Return a function that gives the bytes of an answer to a request."""
    line, body = FRAMINGS[framing]
    return lambda request: (
        before + head(request, status, line, extra) + body + after.replace(b"REQUEST", request)
    )


def proper_answer(request=b"REQUEST"):
    line, body = FRAMINGS["length"]
    return head(request, b"200", line) + body


def send_with(raw_answer, entry=ENTRY_ELSEWHERE, path="/sign/x", method="POST"):
    """Return the answer, its seconds, the runs, the fault ratio, later answers and connections."""

    def script(mesh):
        workers = [machine.worker.state for machine in mesh.machines[:2]]
        configure_workers(mesh, raw_answer=raw_answer, seconds=0.0)
        began_at = mesh.world.loop.now()
        answer = mesh.request(mesh.machines[entry], path, method, b"")
        seconds = mesh.world.loop.now() - began_at
        faults = max(machine.sidecar.condition.now().faults for machine in mesh.machines)
        runs = sum(len(worker.runs) for worker in workers)
        configure_workers(mesh, raw_answer=None)
        connections = sum(worker.connections for worker in workers)
        later = [mesh.request(mesh.machines[entry], path, method, b"").status for _ in range(4)]
        opened = sum(worker.connections for worker in workers) - connections
        return answer, seconds, runs, faults, later, opened

    return play(script, slots=16)


@pytest.mark.parametrize("entry", [ENTRY_ELSEWHERE, ENTRY_AT_WORKER])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", INVALID)
def test_a_status_outside_of_the_protocol_is_no_answer(status, framing, entry):
    """Guards against an invalid status that is passed on, or waited on until the timeout."""
    answer, seconds, runs, faults, later, opened = send_with(raw(status, framing), entry)
    assert answer.status == 502
    assert HeaderNames().integrity.decode().lower() not in answer.headers
    assert seconds < PROMPT_SECONDS
    assert runs == 1
    assert faults > 0
    assert later == [200] * 4
    assert opened >= 1


@pytest.mark.parametrize("before", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
@pytest.mark.parametrize("status", INVALID)
def test_an_answer_behind_an_invalid_one_is_not_taken_for_the_answer(status, before):
    """Guards against bytes of a worker that sends more than one head for a request."""
    answers = raw(status, "no body", before, proper_answer())
    answer, seconds, runs, _, later, _ = send_with(answers)
    assert (answer.status, runs, later) == (502, 1, [200] * 4)
    assert seconds < PROMPT_SECONDS


@pytest.mark.parametrize("status", INVALID)
def test_an_invalid_answer_never_means_that_the_request_has_not_run(status):
    """Guards against the repetition of an unsafe request whose worker answered with nonsense."""
    refusing = raw(status, "no body", extra=b"%s: 1\r\n" % NAMES.not_run)
    answer, _, runs, _, _, _ = send_with(refusing)
    assert (answer.status, runs) == (502, 1)


@pytest.mark.parametrize("status", INVALID)
def test_a_safe_request_is_repeated_elsewhere_after_an_invalid_answer(status):
    """Guards against a reader that ends the call although another worker can answer it."""
    once = iter([raw(status)])

    def script(mesh):
        def answer(request):
            return next(once, lambda name: proper_answer(name))(request)

        configure_workers(mesh, raw_answer=answer, seconds=0.0)
        return mesh.request(mesh.machines[2], "/read/x").status

    assert play(script) == 200


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
def test_interim_answers_are_skipped(status):
    """Guards against a check that takes an interim answer for an invalid one."""
    interim = b"HTTP/1.1 %s Interim\r\nLink: </x>\r\n\r\n" % status
    answer, _, runs, _, _, _ = send_with(raw(b"200", before=interim * 2))
    assert (answer.status, answer.body, runs) == (200, BODY, 1)


@pytest.mark.parametrize("status", [b"200", b"226", b"302", b"404", b"451", b"501", b"599"])
def test_every_final_status_is_passed_on_unchanged(status):
    """Guards against a final status that is replaced by one of the system."""
    answer, _, _, _, _, _ = send_with(raw(status))
    assert (answer.status, answer.body) == (int(status), BODY)


@pytest.mark.parametrize("status", [0, 99, 150, 600, 999])
def test_a_sidecar_passes_no_invalid_status_of_another_one_on(monkeypatch, status):
    """Guards against sidecars of a former release, which let such answers of workers pass."""

    def encode(reply):
        answer = encode_reply(reply)
        if reply.outcome is Outcome.ANSWERED:
            answer.status = status
        return answer

    monkeypatch.setattr(peer_server, "encode_reply", encode)

    def script(mesh):
        return mesh.request(mesh.machines[2], "/sign/x", "POST", b"").status

    assert play(script) == 502
