"""Reads the header fields of an HTTP/1.1 request, strictly.

What two parsers could read differently is refused, so that no request can be
hidden inside another: repeated or contradicting lengths, folded lines, spaces
before the colon, control characters. It also costs a fraction of the standard
library's mail parser, which the WSGI server would use.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import BinaryIO

MAX_FIELDS = 100
"""Header fields of one request at most. A choice: what most servers allow."""

MAX_LINE_BYTES = 16 * 1024
"""Longest header line in bytes. A choice: tokens and cookies fit."""

_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_ONLY_ONCE = frozenset({"content-length", "transfer-encoding", "host", "authorization"})


class RequestHeaders:
    """Header fields with the methods that the WSGI server uses.

    :ivar status: what is wrong with the fields; empty when nothing is.
    :ivar fields: (name, value) in the order they came.
    """

    def __init__(self) -> None:
        self.status = ""
        self.fields: list[tuple[str, str]] = []
        self._first: dict[str, str] = {}

    @classmethod
    def read(cls, file: BinaryIO) -> RequestHeaders:
        """Read fields up to the empty line."""
        headers = cls()
        while not headers.status:
            line = file.readline(MAX_LINE_BYTES + 1)
            if line in (b"\r\n", b"\n"):
                headers._check_length()
                break
            headers._take(line)
        return headers

    def _take(self, line: bytes) -> None:
        name, colon, value = line.decode("latin-1").partition(":")
        if not line.endswith(b"\n"):
            self.status = "a header line is too long, or the headers are cut"
        elif not colon or not _NAME.fullmatch(name):
            self.status = "a header line is malformed"
        elif len(self.fields) >= MAX_FIELDS:
            self.status = f"more than {MAX_FIELDS} header fields"
        else:
            self._add(name, value.strip(" \t\r\n"))

    def _add(self, name: str, value: str) -> None:
        key = name.lower()
        if _CONTROL.search(value):
            self.status = f"control character in {name}"
        elif key in _ONLY_ONCE and key in self._first:
            self.status = f"{name} is stated twice"
        self.fields.append((name, value))
        self._first.setdefault(key, value)

    def _check_length(self) -> None:
        length = self._first.get("content-length")
        coding = self._first.get("transfer-encoding")
        if length is not None and not (length.isascii() and length.isdigit()):
            self.status = "Content-Length is not a number"
        elif coding is not None and (length is not None or coding.lower() != "chunked"):
            self.status = "Transfer-Encoding other than chunked, or beside Content-Length"

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a field."""
        return self._first.get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """The content type."""
        return self.get("content-type")

    def environment(self) -> Iterator[tuple[str, str]]:
        """Yield (key, value) for the WSGI environment.

        A name with an underscore would look like one with a dash, and is left out.
        """
        for name, value in self.fields:
            key = name.upper()
            if "_" not in key and key not in ("CONTENT-TYPE", "CONTENT-LENGTH"):
                yield "HTTP_" + key.replace("-", "_"), value
