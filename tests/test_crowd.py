"""Crowds of clients that nobody controls end no process and take no more memory than it has.

Real processes, one test at a time: ``pytest -m crowd``. No check depends on the machine's speed.
"""

from __future__ import annotations

import os
import random

import gevent
import pytest
from gevent import socket

from crowd_support import (
    HOLD_SECONDS,
    MAX_HEADER_BYTES,
    CrowdSite,
    head,
    resident_mb,
)

pytestmark = pytest.mark.crowd

SHORT_LINE = b"a:\r\n"
LINE_BYTES = 16_000
END = b"\r\n"
DESCRIPTORS = 256
ROUNDS = 10
FLAT_MB = 8
"""Growth of the resident memory over rounds that counts as none."""


def short_lines(size=LINE_BYTES):
    return SHORT_LINE * (size // len(SHORT_LINE))


def different_lines(number=2000):
    """Return lines of 7 to 9 bytes, which differ from request to request."""
    return b"".join(b"%x:%x\r\n" % (line, random.randrange(256)) for line in range(number))


def legal_short_lines():
    start = head()
    return start + short_lines(MAX_HEADER_BYTES - len(start) - 16) + END


def unfinished_short_lines():
    return head() + short_lines()


def legal_different_lines():
    return head() + different_lines() + END


def oversized_head():
    return head() + short_lines(64_000) + END


def long_target():
    return head("/slow/" + "x/" * 8000) + END


def long_list_values():
    start = head()
    tokens = b",".join(b"%x" % number for number in range(3600))
    return start + b"Connection: " + tokens[: MAX_HEADER_BYTES - len(start) - 64] + b"\r\n" + END


def pipelined_requests():
    return head() + END + b"".join(head("/fast/x") + END for _ in range(600))


def lines_after_a_request():
    return head() + END + head("/fast/x") + short_lines(200_000)


def small_chunks():
    start = head(method="POST", lines=b"Transfer-Encoding: chunked\r\n")
    return start + END + b"1\r\na\r\n" * 20_000


def small_chunks_after_a_request():
    return head() + END + small_chunks()


def endless_trailers():
    start = head(method="POST", lines=b"Transfer-Encoding: chunked\r\n")
    return start + END + b"1\r\na\r\n0\r\n" + short_lines(200_000)


def bodies_that_stay_unfinished():
    return head(method="POST", lines=b"Content-Length: 900000\r\n") + END + bytes(200_000)


@pytest.mark.parametrize(
    "payload",
    [
        legal_short_lines,
        unfinished_short_lines,
        legal_different_lines,
        oversized_head,
        long_target,
        long_list_values,
        pipelined_requests,
        lines_after_a_request,
        small_chunks,
        small_chunks_after_a_request,
        endless_trailers,
        bodies_that_stay_unfinished,
    ],
    ids=lambda payload: payload.__name__,
)
def test_a_crowd_takes_no_more_memory_than_its_machine_has(tmp_path, payload):
    """Guards against memory that grows with what clients send, until the process is ended."""
    with CrowdSite(tmp_path) as site:
        site.send_crowd(payload)
        site.assert_alive()
        site.assert_within_memory()


@pytest.mark.parametrize("port", ["readiness", "registry", "metrics"])
@pytest.mark.parametrize(
    "payload", [unfinished_short_lines, pipelined_requests], ids=lambda payload: payload.__name__
)
def test_a_crowd_at_another_port_takes_no_more_memory_than_its_machine_has(tmp_path, port, payload):
    """Guards against ports beside the callers' one whose readers have no common bound."""
    with CrowdSite(tmp_path) as site:
        site.send_crowd(payload, port=port)
        site.assert_alive()
        site.assert_within_memory()


def test_answers_that_nobody_reads_take_no_more_memory_than_the_machine_has(tmp_path):
    """Guards against answers of workers that pile up for clients which do not read them."""
    with CrowdSite(tmp_path) as site:
        site.worker.state.body = bytes(900_000)
        site.send_crowd(lambda: head("/fast/x") + END, reads=False)
        site.worker.state.body = b"short"
        site.assert_alive()
        site.assert_within_memory()


def test_memory_stays_flat_over_rounds_of_a_crowd(tmp_path):
    """Guards against memory or descriptors that each crowd leaves behind."""
    with CrowdSite(tmp_path) as site:
        resident = []
        for _ in range(ROUNDS):
            for payload in (legal_short_lines, unfinished_short_lines):
                site.send_crowd(payload, attempts=1)
            site.assert_alive()
            resident.append(resident_mb(site.front))
        gevent.sleep(HOLD_SECONDS)
        assert resident[-1] <= resident[2] + FLAT_MB, resident
        assert len(os.listdir(f"/proc/{site.front.pid}/fd")) <= 64
        site.assert_within_memory()


def test_connections_beyond_the_descriptors_leave_some_for_the_process_itself(tmp_path):
    """Guards against a crowd of connections after which a process can open none of its own."""
    with CrowdSite(tmp_path, descriptors=DESCRIPTORS) as site:
        connections = []
        for _ in range(2 * DESCRIPTORS):
            connection = socket.socket()
            connection.settimeout(1.0)
            try:
                connection.connect(site.address())
                connection.sendall(b"GET / HTTP/1.1\r\n")
            except OSError:
                pass
            connections.append(connection)
        used = len(os.listdir(f"/proc/{site.front.pid}/fd"))
        assert used <= 0.9 * DESCRIPTORS, used
        site.assert_alive()
        for connection in connections:
            connection.close()
        site.assert_alive()
        site.assert_within_memory()
