"""Messages are read alike however their bytes arrive, and cost little more than their bytes."""

from __future__ import annotations

import tracemalloc
from random import Random

import gevent
import pytest

from cranklane.common.http1.header_block import HeaderBlock
from cranklane.common.http1.message import (
    Framing,
    HeadTooLargeError,
    MalformedMessageError,
    TruncatedMessageError,
)
from cranklane.common.http1.message_reader import MAX_START_LINE_BYTES
from cranklane.common.http1.parsing_turns import LONG_HEAD_LINES, PAUSE_FACTOR, ParsingTurns
from cranklane.common.http1.reader import AnswerReader, RequestReader

MAX_HEAD_BYTES = 16_384
GET = b"GET /x HTTP/1.1\r\n"
END = b"\r\n"


class Pieces:
    """A connection that receives given pieces, then ends."""

    def __init__(self, *pieces):
        self._pieces = list(pieces)

    def settimeout(self, _seconds):
        """Ignore the timeout."""

    def recv(self, size):
        if not self._pieces:
            return b""
        piece = self._pieces.pop(0)
        if len(piece) > size:
            self._pieces.insert(0, piece[size:])
        return piece[:size]


def reader_of(*pieces, max_head_bytes=MAX_HEAD_BYTES):
    return RequestReader(Pieces(*pieces), max_head_bytes)


def next_head(reader):
    return reader.next_head(10.0, 10.0, lambda: 0.0)


def split(data, random, most):
    """Return data in pieces of random sizes."""
    pieces = []
    while data:
        size = random.randint(1, most)
        pieces.append(data[:size])
        data = data[size:]
    return pieces


def read_all(reader):
    """Return method, target, headers and body of each message."""
    messages = []
    while (head := next_head(reader)) is not None:
        body = b""
        while data := reader.next_piece():
            body += data
        reader.finish()
        messages.append((head.method, head.target, list(head.headers), body))
    return messages


def lines_of(size, line=b"a:\r\n"):
    return line * (size // len(line))


@pytest.mark.parametrize("line", [b"a:\r\n", b"a:b\r\n", b"h1:\t2 \r\n", b"name: value\r\n"])
def test_a_head_up_to_the_limit_is_read_whatever_its_lines_are(line):
    """Guards against a size that is not the one on the wire, so that legal heads get 431."""
    lines = lines_of(MAX_HEAD_BYTES - len("/x"), line)
    head = next_head(reader_of(GET + lines + END))
    assert head.headers.lines == lines
    assert len(list(head.headers)) == len(lines) // len(line)


@pytest.mark.parametrize("is_complete", [True, False])
def test_a_head_over_the_limit_is_refused(is_complete):
    """Guards against heads that grow without bound while they are incomplete."""
    lines = lines_of(MAX_HEAD_BYTES + MAX_START_LINE_BYTES + 8)
    with pytest.raises(HeadTooLargeError):
        next_head(reader_of(GET + lines + (END if is_complete else b"")))


def test_a_target_over_the_limit_is_refused():
    """Guards against a request line without a limit."""
    with pytest.raises(HeadTooLargeError):
        next_head(reader_of(b"GET /" + b"x" * 2 * MAX_HEAD_BYTES, b" HTTP/1.1\r\n\r\n"))


def test_empty_lines_before_a_request_are_skipped_and_counted():
    """Guards against empty lines without end, which never become a request."""
    assert next_head(reader_of(END * 3 + GET + b"Host: h\r\n" + END)).value(b"host") == b"h"
    with pytest.raises(HeadTooLargeError):
        next_head(reader_of(END * MAX_HEAD_BYTES))


def test_an_empty_line_after_a_request_does_not_begin_the_next_one():
    """Guards against 408 to an idle client that ended its last request with one line too many."""
    reader = reader_of(GET + b"Host: h\r\n\r\n\r\n")
    next_head(reader)
    reader.finish()
    assert next_head(reader) is None


@pytest.mark.parametrize(
    "data",
    [
        GET + b"a:1\nb:2\r\n\r\n",
        GET + b"a:1\r\n b\r\n\r\n",
        GET + b"a:1\rb:2\r\n\r\n",
        GET + b"a:1\r\n\n\r\n\r\n",
        GET + b": 1\r\n\r\n",
        GET + b"a b: 1\r\n\r\n",
        b"GET /x HTTP/1.1\n\n\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01",
        b"\x00\x01 no request",
    ],
)
def test_lines_that_others_may_read_otherwise_are_malformed(data):
    """Guards against lines forwarded as they came which another reader splits differently."""
    with pytest.raises(MalformedMessageError):
        next_head(reader_of(data, b"more"))


def test_what_follows_a_request_is_not_parsed_before_it_is_served():
    """Guards against requests that are kept as objects while an earlier one is served."""
    reader = reader_of(GET + b"Host: h\r\n\r\n" + b"no request at all\r\n\r\n")
    assert next_head(reader).target == b"/x"
    assert reader.next_piece() == b""
    reader.finish()
    with pytest.raises(MalformedMessageError):
        next_head(reader)


def test_an_offer_of_another_protocol_is_ignored():
    """Guards against 400 for requests of clients that offer a newer protocol."""
    offer = b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
    head = next_head(reader_of(GET + offer + END))
    assert (head.target, head.keep_alive) == (b"/x", False)
    for data in (
        b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
        b"POST /x HTTP/1.1\r\n" + offer + b"Content-Length: 2\r\n\r\nok",
    ):
        with pytest.raises(MalformedMessageError):
            next_head(reader_of(data))


MESSAGES = [
    (b"GET", b"/a", [(b"Host", b"h")], b""),
    (b"POST", b"/b", [(b"Content-Length", b"9")], b"\r\n\r\nabc\r\n"),
    (b"POST", b"/c", [(b"Transfer-Encoding", b"chunked")], b"0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"),
    (b"PUT", b"/d?e", [(b"transfer-encoding", b"chunked"), (b"X", b"")], b""),
    (b"GET", b"/f", [(b"A", b"1"), (b"a", b"2")], b""),
]


def encode(message, random):
    """Return a message's bytes, with chunks of random sizes and trailers."""
    method, target, headers, body = message
    lines = b"".join(b"%s: %s\r\n" % header for header in headers)
    head = b"%s %s HTTP/1.1\r\n%s\r\n" % (method, target, lines)
    if (b"chunked") not in lines:
        return head + body
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in split(body, random, 9))
    trailers = random.choice([b"", b"T: 1\r\n", b"T: 1\r\nU:\r\n"])
    return head + chunks + b"0\r\n" + trailers + b"\r\n"


@pytest.mark.parametrize("seed", range(60))
def test_messages_are_the_same_however_their_bytes_arrive(seed):
    """Guards against an end of a head or body that is missed or misplaced between two receives."""
    random = Random(seed)
    messages = [random.choice(MESSAGES) for _ in range(8)]
    data = b"".join(encode(message, random) for message in messages)
    for most in (1, 3, 17, len(data)):
        assert read_all(reader_of(*split(data, random, most))) == messages


def test_a_part_of_a_chunked_body_is_passed_on_as_it_arrives():
    """Guards against bytes of a stream that are held until the next ones arrive."""
    start = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader = reader_of(start + b"5\r\nhello\r\n", b"1\r\n!\r\n0\r\n\r\n")
    assert next_head(reader).framing is Framing.CHUNKED
    assert [reader.next_piece() for _ in range(3)] == [b"hello", b"!", b""]


def test_small_chunks_are_joined():
    """Guards against one object and one message for each chunk of a byte."""
    start = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader = reader_of(start, b"1\r\na\r\n" * 1000 + b"0\r\n\r\n")
    next_head(reader)
    assert reader.next_piece() == b"a" * 1000


@pytest.mark.parametrize("line", [b"a:\r\n", b"x" * 4000])
def test_trailers_and_chunk_extensions_have_a_limit(line):
    """Guards against a request that never ends although it has no more data."""
    start = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0"
    first = b"\r\n" if line.endswith(END) else b";"
    reader = reader_of(start + first, *[line * (4000 // len(line))] * 200)
    next_head(reader)
    assert reader.next_piece() == b"a"
    with pytest.raises((MalformedMessageError, HeadTooLargeError)):
        reader.next_piece()


def test_an_answer_that_is_cut_within_its_chunks_does_not_look_complete():
    """Guards against a truncated body that is taken for a whole one."""
    start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader = AnswerReader(Pieces(start + b"5\r\nhello\r\n0\r\n"), MAX_HEAD_BYTES)
    reader.next_head()
    assert reader.next_piece() == b"hello"
    with pytest.raises(TruncatedMessageError):
        reader.next_piece()


def test_bytes_after_an_answer_are_a_surplus():
    """Guards against a connection that is used again although more has arrived on it."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    for rest, surplus in ((b"", False), (b"HTTP/1.1 200", True), (b"\r\n", True)):
        reader = AnswerReader(Pieces(answer + rest), MAX_HEAD_BYTES)
        reader.next_head()
        assert (reader.next_piece(), reader.next_piece()) == (b"ok", b"")
        assert reader.surplus is surplus


@pytest.mark.parametrize("is_complete", [True, False])
def test_a_head_of_very_many_lines_costs_little_more_than_its_bytes(is_complete):
    """Guards against an object for each line of a head, some forty times its size."""
    data = GET + lines_of(16_000) + (END if is_complete else b"")
    tracemalloc.start()
    try:
        reader = reader_of(data)
        if is_complete:
            head = next_head(reader)
            assert head.target == b"/x"
        else:
            with pytest.raises(TruncatedMessageError):
                next_head(reader)
        assert tracemalloc.get_traced_memory()[0] < 4 * len(data)
    finally:
        tracemalloc.stop()


def test_headers_are_found_by_their_whole_name():
    """Guards against a value of another header, or a part of one, taken for the wanted one."""
    block = HeaderBlock(b"X-Host: 1\r\nA: host: 2\r\nHost:3 \r\nHOST: 4\r\nHostess: 5\r\n")
    assert block.values(b"host") == [b"3", b"4"]
    assert block.value(b"hos") is None
    assert block.without(frozenset({b"host", b"a"})) == b"X-Host: 1\r\nHostess: 5\r\n"


def test_long_heads_are_parsed_in_turn_and_ordinary_ones_at_once():
    """Guards against a crowd of long heads that takes all the time of the process."""
    now = [0.0]
    parsed = []
    turns = ParsingTurns(lambda: now[0])

    def parse(data):
        parsed.append((data, now[0]))
        now[0] += 0.01

    long_head = b"\n" * (LONG_HEAD_LINES + 1)
    turns.take(long_head, parse)
    waiting = gevent.spawn(turns.take, long_head, parse)
    gevent.sleep(0)
    turns.take(b"short", parse)
    assert [data for data, _ in parsed] == [long_head, b"short"]
    now[0] += PAUSE_FACTOR * 0.01
    waiting.join(2.0)
    assert [data for data, _ in parsed] == [long_head, b"short", long_head]
