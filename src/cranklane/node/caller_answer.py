"""Writes answers to callers as HTTP responses."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import falcon

from cranklane.common import headers
from cranklane.common.headers import retry_after_seconds
from cranklane.errors import TruncatedAnswerError
from cranklane.node.answer import Answer
from cranklane.outcome import Outcome, Reason, status_of


class _Body:
    """WSGI response body that calls ``on_close`` when the HTTP server closes it."""

    def __init__(self, answer: Answer, on_close: Callable[[], None]) -> None:
        self._answer = answer
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._answer.body)

    def close(self) -> None:
        """End the call, whether or not the body was written to its end."""
        self._answer.body.close()
        self._on_close()


def write_answer(
    request: falcon.Request,
    response: falcon.Response,
    answer: Answer,
    on_close: Callable[[], None],
) -> None:
    """Write a worker's answer; without streaming if its body is complete.

    :param on_close: called when the body has been written or abandoned.
    """
    body = _Body(answer, on_close)
    if answer.body.is_complete and request.method != "HEAD":
        _write_complete(response, answer, body)
        return
    _write_head(response, answer)
    response.stream = body


def _write_complete(response: falcon.Response, answer: Answer, body: _Body) -> None:
    try:
        data = b"".join(body)
    except TruncatedAnswerError:
        write_refusal(response, Answer(Outcome.UNKNOWN, Reason.ANSWER_CUT))
        return
    finally:
        body.close()
    _write_head(response, answer)
    if data:
        response.data = data


def _write_head(response: falcon.Response, answer: Answer) -> None:
    response.status = falcon.code_to_http_status(answer.status)
    for name, value in answer.headers:
        response.append_header(name, value)
    response.set_header(headers.OUTCOME, answer.outcome.label)
    if answer.attempts > 1:
        response.set_header(headers.ATTEMPTS, str(answer.attempts))


def write_refusal(response: falcon.Response, answer: Answer) -> None:
    """Write the outcome of a call without a worker's answer."""
    status = status_of(answer.outcome, answer.reason)
    response.status = falcon.code_to_http_status(status)
    response.set_header(headers.OUTCOME, answer.outcome.label)
    response.set_header(headers.REASON, answer.reason.label)
    response.set_header(headers.ATTEMPTS, str(answer.attempts))
    if answer.retry_after_ms:
        response.set_header("Retry-After", retry_after_seconds(answer.retry_after_ms))
        response.set_header(headers.RETRY_AFTER_MS, str(answer.retry_after_ms))
    response.content_type = falcon.MEDIA_TEXT
    response.text = f"{answer.outcome.label}: {answer.reason.label}\n"
