"""Reads JSON texts (RFC 8259) of others: UTF-8 alone, and nothing beyond the grammar.

Python's reader also takes other encodings, surrogates encoded one by one, a byte order mark, NaN
and Infinity, and turns numbers beyond the range of a float into infinity. What it reads so cannot
be written again as JSON, or not as a record.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable
from typing import Any

_STRING = r'"(?:[^"\\]|\\.)*"'
_CONSTANT = re.compile(rf"{_STRING}|(-?Infinity|NaN)", re.DOTALL)
_NUMBER = re.compile(rf"{_STRING}|(-?\d+(?:\.\d+)?(?:[eE][-+]?\d+)?)", re.DOTALL)
_ESCAPE = re.compile(r"\\(?:u([0-9a-fA-F]{4})|.)", re.DOTALL)

_HIGH_SURROGATES = range(0xD800, 0xDC00)
"""First halves of the escapes of a character beyond the first 65,536."""

_LOW_SURROGATES = range(0xDC00, 0xE000)
"""Second halves."""


class JsonTextError(ValueError):
    """A text is not JSON in UTF-8; the message names the place."""


def read_json_text(
    data: bytes | str, pairs_hook: Callable[[list[tuple[str, Any]]], Any] | None = None
) -> Any:
    """Return the value of a JSON text.

    :param pairs_hook: makes an object from its names and values in order; a dict by default.
    :raises JsonTextError: when the text is not UTF-8, not JSON, nested too deeply, or has a string
        or a number that cannot be represented.

    >>> read_json_text(b'{"a": [1, 2.5]}')
    {'a': [1, 2.5]}
    >>> read_json_text(b'{"a": NaN}')
    Traceback (most recent call last):
    ...
    cranklane.common.strict_json.JsonTextError: line 1 column 7: NaN is not JSON
    """
    text = _decoded(data) if isinstance(data, bytes) else data
    try:
        value = json.loads(
            text,
            object_pairs_hook=pairs_hook,
            parse_constant=lambda name: _refuse_constant(text, name),
            parse_float=lambda literal: _finite(text, literal),
        )
    except JsonTextError:
        raise
    except json.JSONDecodeError as error:
        raise JsonTextError(f"line {error.lineno} column {error.colno}: {error.msg}") from error
    except (ValueError, RecursionError) as error:
        # Too many digits in an integer, or nested too deeply.
        raise JsonTextError(str(error)) from error
    _check_escapes(text)
    return value


def _decoded(data: bytes) -> str:
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        before = data[: error.start].decode()
        raise JsonTextError(
            f"{_place(before, len(before))} (byte {error.start}): not UTF-8: {error.reason}"
        ) from error
    if text.startswith("\ufeff"):
        raise JsonTextError("line 1 column 1: a byte order mark is not JSON")
    return text


def _place(text: str, position: int) -> str:
    """Return the line and column of a position, both from 1."""
    line_start = text.rfind("\n", 0, position) + 1
    line = text.count("\n", 0, position) + 1
    return f"line {line} column {position - line_start + 1}"


def _position_of(token: str, pattern: re.Pattern[str], text: str) -> int:
    """Return the position of a token outside strings."""
    matches = (match for match in pattern.finditer(text) if match.group(1) == token)
    match = next(matches, None)
    return match.start() if match is not None else 0


def _refuse_constant(text: str, name: str) -> Any:
    position = _position_of(name, _CONSTANT, text)
    raise JsonTextError(f"{_place(text, position)}: {name} is not JSON")


def _finite(text: str, literal: str) -> float:
    value = float(literal)
    if not math.isfinite(value):
        position = _position_of(literal, _NUMBER, text)
        raise JsonTextError(f"{_place(text, position)}: the number {literal[:40]} is too large")
    return value


def _check_escapes(text: str) -> None:
    """Refuse escaped surrogates that are not a pair: they are no characters.

    :param text: JSON text; it has backslashes in strings only.
    """
    if "\\u" not in text:
        return
    first_half: re.Match[str] | None = None
    for escape in _ESCAPE.finditer(text):
        code = int(escape.group(1), 16) if escape.group(1) else 0
        is_second_half = code in _LOW_SURROGATES
        follows_first_half = first_half is not None and first_half.end() == escape.start()
        if first_half is not None and not (is_second_half and follows_first_half):
            raise _unpaired(text, first_half)
        if is_second_half and first_half is None:
            raise _unpaired(text, escape)
        first_half = escape if code in _HIGH_SURROGATES else None
    if first_half is not None:
        raise _unpaired(text, first_half)


def _unpaired(text: str, escape: re.Match[str]) -> JsonTextError:
    return JsonTextError(f"{_place(text, escape.start())}: an unpaired surrogate")
