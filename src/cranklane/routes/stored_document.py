"""Reads route table documents that a controller has accepted, whatever a former release let pass.

An accepted document stays in force and in the log, so it can't be refused any more. Its readable
part is used: members whose name or value JSON cannot state are left out, such as names with
surrogates and numbers that are not finite.
"""

from __future__ import annotations

import json
import math
import zlib
from typing import Any, NamedTuple

from result import Err, Ok

from cranklane.routes.document import pack_document, read_json, unpack_document

_OMITTED = object()


class StoredDocument(NamedTuple):
    """The readable part of a stored document.

    :ivar value: the document; None if nothing of it can be read.
    :ivar packed: the compressed text of ``value``; the stored one if that is readable in full.
    :ivar problems: what could not be read, with its place; empty if the document is whole.
    """

    value: dict[str, Any] | None
    packed: bytes
    problems: list[str]


def read_stored(packed: bytes) -> StoredDocument:
    """Return the readable part of a compressed document; never raises."""
    try:
        data = unpack_document(packed)
    except zlib.error as error:
        return StoredDocument(None, packed, [f"the document cannot be decompressed: {error}"])
    strict = read_json(data)
    if isinstance(strict, Ok):
        return StoredDocument(strict.ok_value, packed, [])
    return _read_part(data, packed, strict)


def _read_part(data: bytes, packed: bytes, strict: Err[list[str]]) -> StoredDocument:
    """Return the part of a document that is not JSON in UTF-8, read as former releases did."""
    problems = list(strict.err_value)
    try:
        value = _writable("", json.loads(data), problems)
        text = json.dumps(value, ensure_ascii=False, allow_nan=False).encode()
    except (ValueError, RecursionError):
        return StoredDocument(None, packed, problems)
    if not isinstance(value, dict):
        return StoredDocument(None, packed, problems)
    return StoredDocument(value, pack_document(text), problems)


def _writable(path: str, value: Any, problems: list[str]) -> Any:
    """Return a JSON value without the parts that cannot be written; note these in ``problems``."""
    if isinstance(value, dict):
        members = {
            name: _writable(f"{path}.{name}", member, problems)
            for name, member in value.items()
            if _is_writable(name, f"{path}.{name}", problems)
        }
        return {name: member for name, member in members.items() if member is not _OMITTED}
    if isinstance(value, list):
        elements = [_writable(f"{path}[]", element, problems) for element in value]
        return [element for element in elements if element is not _OMITTED]
    return value if _is_writable(value, path, problems) else _OMITTED


def _is_writable(value: Any, path: str, problems: list[str]) -> bool:
    if isinstance(value, str):
        is_writable = not any("\ud800" <= character <= "\udfff" for character in value)
    else:
        is_writable = not isinstance(value, float) or math.isfinite(value)
    if not is_writable:
        problems.append(f"{ascii(path.lstrip('.'))[1:-1]}: left out, it cannot be written as JSON")
    return is_writable
