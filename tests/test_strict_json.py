"""JSON of others is read as RFC 8259 states it, in UTF-8, and no more than it."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranklane.common.strict_json import JsonTextError, read_json_text

values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@given(values, st.booleans())
def test_every_value_that_json_can_state_is_read(value, ascii_only):
    """Guards against a reader that refuses proper texts, escaped or not."""
    assert read_json_text(json.dumps(value, ensure_ascii=ascii_only).encode()) == value


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (b'{\n "r-\xed\xa0\xbd\xed\xb8\x80": 1}', "line 2 column 5 (byte 6)"),
        (b'{"a": "\xff"}', "line 1 column 8 (byte 7)"),
        (b'{"a": "\xc0\xaf"}', "line 1 column 8"),
        ('{"a": "é"}'.encode("latin-1"), "line 1 column 8"),
        ('{"a": 1}'.encode("utf-16"), "line 1 column 1"),
        ('{"a": 1}'.encode("utf-16-le"), "line 1 column 2"),
        ('{"a": 1}'.encode("utf-32-be"), "line 1 column 1"),
        ('{"a": 1}'.encode("utf-8-sig"), "line 1 column 1"),
        (b'{"NaN": 1,\n "a": NaN}', "line 2 column 7"),
        (b'{"a": Infinity}', "line 1 column 7"),
        (b'{"a": [-Infinity]}', "line 1 column 8"),
        (b'{"a": "1e999", "b": 1e999}', "line 1 column 21"),
        (b'{"a": "\\ud800"}', "line 1 column 8"),
        (b'{"a": "\\\\ud800", "b": "\\udc00"}', "line 1 column 24"),
        (b'{"a": "\\ud83dx\\ude00"}', "line 1 column 8"),
        (b'{"a": "\\ud83d\\ud83d\\ude00"}', "line 1 column 8"),
        (b'{"a": "\t"}', "line 1 column 8"),
        (b"{'a': 1}", "line 1 column 2"),
        (b'{"a": 1,}', "line 1 column 9"),
        (b'{"a": 01}', "line 1 column 8"),
        (b'{"a": 1} x', "line 1 column 10"),
        (b'{"a": 1}\x00', "line 1 column 9"),
        (b"", "line 1 column 1"),
    ],
)
def test_what_is_not_json_in_utf8_is_refused_at_its_place(text, place):
    """Guards against documents that are taken although they cannot be read in full."""
    with pytest.raises(JsonTextError, match="line") as raised:
        read_json_text(text)
    assert str(raised.value).startswith(place)


@pytest.mark.parametrize("text", [b"[" * 100_000, b"[" + b"9" * 5000 + b"]"])
def test_depth_and_digits_are_bounded(text):
    """Guards against other exceptions than that of the reader."""
    with pytest.raises(JsonTextError):
        read_json_text(text)


@pytest.mark.parametrize(
    ("text", "value"),
    [
        (b'"\\ud83d\\ude00"', "😀"),
        ('"😀"'.encode(), "😀"),
        (b'"\\\\ud800"', "\\ud800"),
        (b'"NaN"', "NaN"),
        (b' \t\r\n{"a":\n1}\n', {"a": 1}),
        (b"1e308", 1e308),
    ],
)
def test_what_looks_alike_but_is_json_is_read(text, value):
    """Guards against a check that takes a string's content for a token."""
    assert read_json_text(text) == value


@given(st.binary(max_size=40))
def test_any_bytes_are_read_or_refused(data):
    """Guards against bytes that end the task which reads them."""
    try:
        value = read_json_text(data)
    except JsonTextError:
        return
    json.dumps(value, ensure_ascii=False, allow_nan=False).encode()
