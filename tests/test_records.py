"""Encoding of every record of the schema, and rejection of malformed bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranklane.errors import MalformedRecordError
from cranklane.records.generate import generate
from cranklane.records.messages import MESSAGES
from cranklane.records.schema import RECORDS

_SAMPLES = {
    "u8": 7,
    "u16": 300,
    "u32": 70_000,
    "u64": 1 << 40,
    "f64": 1.5,
    "bool": True,
    "str": "grāmata",
    "text": "ž" * 70_000,
    "bytes": b"\x00\xff",
    "strings": ["a", "", "ž"],
    "pairs": [("a", "b"), ("", "c")],
}


def sample(name: str):
    record = next(candidate for candidate in RECORDS if candidate.name == name)
    values = {}
    for field in record.fields.split():
        field_name, kind = field.split(":")
        values[field_name] = [sample(kind[1:-1])] if kind[0] == "[" else _SAMPLES[kind]
    return MESSAGES[record.kind](**values)


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: record.name)
def test_record_round_trip(record):
    message = sample(record.name)
    assert type(message).unpack(message.pack()) == message


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: record.name)
def test_truncated_or_extended_record_is_rejected(record):
    data = sample(record.name).pack()
    kind = MESSAGES[record.kind]
    for broken in (data[:-1], data + b"x", b""):
        with pytest.raises(MalformedRecordError):
            kind.unpack(broken)


@given(st.binary(max_size=200), st.sampled_from(sorted(MESSAGES)))
def test_random_bytes_raise_only_malformed_record_errors(data, kind):
    try:
        message = MESSAGES[kind].unpack(data)
    except MalformedRecordError:
        return
    assert all(hasattr(message, name) for name in message.__slots__) and message.__slots__


def test_pack_rejects_numbers_out_of_range():
    with pytest.raises(MalformedRecordError):
        MESSAGES[10](deadline_ms=-1).pack()


def test_generated_module_is_up_to_date():
    import cranklane.records.messages as generated

    with open(generated.__file__) as file:
        assert file.read() == generate()
