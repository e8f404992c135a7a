"""Sends the answers of inbound calls as records: a head, pieces of the body, an end.

The end states length and checksum, so that :mod:`~cranklane.node.peer_call` never takes an
answer that was cut for a whole one.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from cranklane.common.headers import HOP_BY_HOP, is_reserved_header
from cranklane.common.http_client import HttpResponse
from cranklane.errors import TruncatedAnswerError
from cranklane.node.inbound_call import InboundCall
from cranklane.node.metrics import NodeMetrics
from cranklane.outcome import Reason
from cranklane.records.messages import AnswerAbort, AnswerBody, AnswerEnd, AnswerHead


def passed_on(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return a worker's headers without those of its connection and the product's own.

    >>> passed_on([("Content-Type", "text/plain"), ("Connection", "close")])
    [('Content-Type', 'text/plain')]
    """
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and not is_reserved_header(name)
    ]


def send_whole(call: InboundCall, head: AnswerHead, body: bytes) -> None:
    """Send an answer whose whole body is known.

    :raises ConnectionLostError: when the caller is gone.
    """
    call.queue(head)
    if body:
        call.queue(AnswerBody(0, body))
    call.send(AnswerEnd(len(body), zlib.crc32(body), call.context.allowance.remaining))


def send_stream(
    call: InboundCall,
    head: AnswerHead,
    response: HttpResponse,
    body: Iterable[bytes],
    metrics: NodeMetrics,
) -> None:
    """Send a worker's answer while its body comes; an answer cut short is aborted.

    :param body: pieces of the response's body, those read before included.
    :raises ConnectionLostError: when the caller is gone.
    """
    call.queue(head)
    sequence = length = checksum = 0
    try:
        for data in body:
            call.wait_for_window(len(data))
            call.queue(AnswerBody(sequence, data))
            if not response.whole:
                call.send_queued()
            sequence += 1
            length += len(data)
            checksum = zlib.crc32(data, checksum)
    except TruncatedAnswerError:
        metrics.event("answer_cut")
        call.send(AnswerAbort(Reason.ANSWER_CUT, call.context.allowance.remaining))
        return
    call.send(AnswerEnd(length, checksum, call.context.allowance.remaining))
