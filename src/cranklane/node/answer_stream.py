"""Sends the answers of inbound calls as records: a head, body chunks and an end.

The end holds length and checksum of the body, by which :mod:`~cranklane.node.peer_call`
detects truncated answers.
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


def forwarded_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return a worker's headers without the hop-by-hop and cranklane ones.

    >>> forwarded_headers([("Content-Type", "text/plain"), ("Connection", "close")])
    [('Content-Type', 'text/plain')]
    """
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and not is_reserved_header(name)
    ]


def send_complete(call: InboundCall, head: AnswerHead, body: bytes) -> None:
    """Send an answer whose body is complete.

    :raises ConnectionLostError: when the connection to the caller is lost.
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
    """Send a worker's answer while its body arrives; abort the answer if it is truncated.

    :param body: all chunks of the response's body, including those already read.
    :raises ConnectionLostError: when the connection to the caller is lost.
    """
    call.queue(head)
    sequence = length = checksum = 0
    try:
        for data in body:
            call.wait_for_window(len(data))
            call.queue(AnswerBody(sequence, data))
            if not response.is_complete:
                call.send_queued()
            sequence += 1
            length += len(data)
            checksum = zlib.crc32(data, checksum)
    except TruncatedAnswerError:
        metrics.event("answer_cut")
        call.send(AnswerAbort(Reason.ANSWER_CUT, call.context.allowance.remaining))
        return
    call.send(AnswerEnd(length, checksum, call.context.allowance.remaining))
