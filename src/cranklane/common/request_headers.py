"""Strict parser for the header fields of an HTTP/1.1 request.

Prevents request smuggling by rejecting ambiguous headers: repeated or conflicting
lengths, folded lines, spaces before the colon, control characters. Replaces the WSGI
server's default, the slower mail parser of the standard library.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import BinaryIO

MAX_FIELDS = 100
"""Maximum number of header fields of a request."""

MAX_LINE_BYTES = 16 * 1024
"""Maximum length of a header line."""

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of all header lines together; bounds the memory of a connection."""

_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_SINGLE_VALUED_FIELDS = frozenset({"content-length", "transfer-encoding", "host", "authorization"})


class RequestHeaders:
    """Header fields with the interface that the WSGI server expects.

    :ivar status: why the fields are invalid; empty if they are valid.
    :ivar fields: (name, value) in the order received.
    """

    def __init__(self) -> None:
        self.status = ""
        self.fields: list[tuple[str, str]] = []
        self._first: dict[str, str] = {}

    @classmethod
    def read(cls, file: BinaryIO) -> RequestHeaders:
        """Read header fields up to the empty line."""
        headers = cls()
        bytes_left = MAX_HEAD_BYTES
        while not headers.status:
            line = file.readline(min(MAX_LINE_BYTES, bytes_left) + 1)
            bytes_left -= len(line)
            if bytes_left < 0:
                headers.status = f"the header lines have more than {MAX_HEAD_BYTES} bytes"
                break
            if line in (b"\r\n", b"\n"):
                headers._check_length()
                break
            headers._parse_line(line)
        return headers

    def _parse_line(self, line: bytes) -> None:
        name, colon, value = line.decode("latin-1").partition(":")
        if not line.endswith(b"\n"):
            self.status = "a header line is too long, or the headers are truncated"
        elif not colon or not _NAME.fullmatch(name):
            self.status = "a header line is not of the form NAME: VALUE"
        elif len(self.fields) >= MAX_FIELDS:
            self.status = f"more than {MAX_FIELDS} header fields"
        else:
            self._add_field(name, value.strip(" \t\r\n"))

    def _add_field(self, name: str, value: str) -> None:
        key = name.lower()
        if _CONTROL.search(value):
            self.status = f"control character in the value of {name}"
        elif key in _SINGLE_VALUED_FIELDS and key in self._first:
            self.status = f"{name} is repeated"
        self.fields.append((name, value))
        self._first.setdefault(key, value)

    def _check_length(self) -> None:
        length = self._first.get("content-length")
        coding = self._first.get("transfer-encoding")
        if length is not None and not (length.isascii() and length.isdigit()):
            self.status = "Content-Length is not a decimal number"
        elif coding is not None and (length is not None or coding.lower() != "chunked"):
            self.status = "Transfer-Encoding is not chunked, or is combined with Content-Length"

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a field, or the default."""
        return self._first.get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """The ``Content-Type`` field, under the name that gevent reads."""
        return self.get("content-type")

    def environment(self) -> Iterator[tuple[str, str]]:
        """Yield (key, value) pairs of the WSGI environment.

        Skips names with an underscore: their keys would equal those of names with a dash.
        """
        for name, value in self.fields:
            key = name.upper()
            if "_" not in key and key not in ("CONTENT-TYPE", "CONTENT-LENGTH"):
                yield "HTTP_" + key.replace("-", "_"), value
