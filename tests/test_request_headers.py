"""Ambiguous header fields, which allow request smuggling, are rejected."""

from __future__ import annotations

from io import BytesIO

import pytest

from cranklane.common.request_headers import (
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    MAX_LINE_BYTES,
    RequestHeaders,
)


def read(text: bytes) -> RequestHeaders:
    return RequestHeaders.read(BytesIO(text))


def test_fields_are_read_up_to_the_empty_line():
    headers = read(b"Host: a\r\nX-One:  two \r\nx-one: three\r\n\r\nbody: x\r\n")
    assert not headers.status
    assert headers.fields == [("Host", "a"), ("X-One", "two"), ("x-one", "three")]
    assert headers.get("X-ONE") == "two"
    assert headers.get("body") is None


def test_environment_skips_header_names_with_underscores():
    headers = read(b"Cranklane_Context: forged\r\nCranklane-Context: a\r\nContent-Type: t\r\n\r\n")
    assert list(headers.environment()) == [("HTTP_CRANKLANE_CONTEXT", "a")]
    assert headers.typeheader == "t"


@pytest.mark.parametrize(
    "text",
    [
        b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
        b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"Transfer-Encoding: chunked, identity\r\n\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"Content-Length: +1\r\n\r\n",
        b"Content-Length: 1 1\r\n\r\n",
        b"Host: a\r\nHost: b\r\n\r\n",
        b"Host : a\r\n\r\n",
        b" folded: a\r\n\r\n",
        b"X: a\r\n b\r\n\r\n",
        b"X: a\x00b\r\n\r\n",
        b"X: a\rb\r\n\r\n",
        b"no colon\r\n\r\n",
        b"X: cut",
        b"",
        b"X: " + b"a" * MAX_LINE_BYTES + b"\r\n\r\n",
        b"X: a\r\n" * (MAX_FIELDS + 1) + b"\r\n",
    ],
)
def test_ambiguous_headers_are_rejected(text):
    assert read(text).status


def test_the_size_of_all_header_lines_is_limited():
    """Guards against connections that each hold a hundred lines of the longest size."""
    line = b"x: " + b"y" * 10_000 + b"\r\n"
    lines = MAX_HEAD_BYTES // len(line)
    assert not read(line * lines + b"\r\n").status
    assert str(MAX_HEAD_BYTES) in read(line * (lines + 2) + b"\r\n").status
