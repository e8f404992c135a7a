"""Generates ``messages.py`` from the record schema.

Run ``python -m cranklane.records.generate`` after changing the schema;
``--check`` fails if the committed file is out of date.
"""

from __future__ import annotations

import sys
from pathlib import Path

from cranklane.records.definition import Record
from cranklane.records.schema import RECORDS

_NUMBERS = {"u8": "B", "u16": "H", "u32": "I", "u64": "Q", "f64": "d", "bool": "?"}
_PYTHON = {
    "u8": "int",
    "u16": "int",
    "u32": "int",
    "u64": "int",
    "f64": "float",
    "bool": "bool",
    "str": "str",
    "text": "str",
    "bytes": "bytes",
    "strings": "list[str]",
    "pairs": "list[tuple[str, str]]",
}
_LENGTH = {"str": "H"}
_TEXTS = ("str", "text")
_HEADER = '''"""Record classes generated from schema.py by generate.py; do not edit."""

# ruff: noqa
from __future__ import annotations

from struct import Struct
from struct import error as StructError
from typing import ClassVar

from cranklane.errors import MalformedRecordError
from cranklane.records.lists import (
    pack_pairs,
    pack_records,
    pack_strings,
    unpack_pairs,
    unpack_records,
    unpack_strings,
)
from cranklane.records.record import Record

Message = Record
"""Any record."""
'''


def _python_type(kind: str) -> str:
    if kind.startswith("["):
        return f"list[{kind[1:-1]}]"
    return _PYTHON[kind]


def _default(kind: str) -> str:
    python = _python_type(kind)
    if python.startswith("list"):
        return "None"
    return {"int": "0", "float": "0.0", "bool": "False", "str": '""', "bytes": 'b""'}[python]


def _encode(name: str, kind: str) -> str:
    if kind in _TEXTS:
        return f"self.{name}.encode()"
    if kind == "bytes":
        return f"self.{name}"
    if kind.startswith("["):
        return f"pack_records(self.{name})"
    return f"pack_{kind}(self.{name})"


def _decode(kind: str, expression: str) -> str:
    if kind in _TEXTS:
        return f"{expression}.decode()"
    if kind == "bytes":
        return expression
    if kind.startswith("["):
        return f"unpack_records({kind[1:-1]}.unpack, {expression})"
    return f"unpack_{kind}({expression})"


def _init_lines(fields: list[tuple[str, str]]) -> list[str]:
    lines = ["    def __init__(", "        self,"]
    for name, kind in fields:
        python = _python_type(kind)
        optional = f"{python} | None" if python.startswith("list") else python
        lines.append(f"        {name}: {optional} = {_default(kind)},")
    lines.append("    ) -> None:")
    for name, kind in fields:
        python = _python_type(kind)
        value = f"{name} if {name} is not None else []" if python.startswith("list") else name
        lines.append(f"        self.{name}: {python} = {value}")
    return lines


def _class_text(record: Record) -> str:
    fields = [tuple(field.split(":")) for field in record.fields.split()]
    numbers = [(name, kind) for name, kind in fields if kind in _NUMBERS]
    variable = [(name, kind) for name, kind in fields if kind not in _NUMBERS]
    layout = "!" + "".join(_NUMBERS[kind] for _, kind in numbers)
    layout += "".join(_LENGTH.get(kind, "I") for _, kind in variable)
    lines = ["", f"class {record.name}(Record):"]
    lines += [f'    """{record.purpose}"""', "", f"    KIND: ClassVar[int] = {record.kind}"]
    lines += [f'    LAYOUT: ClassVar[Struct] = Struct("{layout}")']
    lines += [f"    __slots__ = ({', '.join(repr(name) for name, _ in fields)},)", ""]
    lines += _init_lines([(name, kind) for name, kind in fields])
    lines += ["", "    def pack(self) -> bytes:"]
    values = [f"self.{name}" for name, _ in numbers] + [f"len({name})" for name, _ in variable]
    lines.append("        try:")
    lines += [f"            {name} = {_encode(name, kind)}" for name, kind in variable]
    lines.append(f"            head = self.LAYOUT.pack({', '.join(values)})")
    lines.append("        except (StructError, UnicodeEncodeError) as error:")
    lines.append('            raise MalformedRecordError(f"cannot pack: {error}") from error')
    tail = ", ".join(["head", *(name for name, _ in variable)])
    lines.append(f"        return b''.join(({tail}))" if variable else "        return head")
    lines += ["", "    @classmethod", f"    def unpack(cls, payload: bytes) -> {record.name}:"]
    lines.append("        try:")
    targets = [name for name, _ in numbers] + [f"{name}_size" for name, _ in variable]
    lines.append(f"            {', '.join(targets)}, = cls.LAYOUT.unpack_from(payload)")
    lines.append("            start = cls.LAYOUT.size")
    for name, kind in variable:
        lines.append(f"            end = start + {name}_size")
        lines.append(f"            {name} = {_decode(kind, 'payload[start:end]')}")
        lines.append("            start = end")
    lines.append("        except (StructError, UnicodeDecodeError) as error:")
    lines.append('            raise MalformedRecordError(f"cannot unpack: {error}") from error')
    lines.append("        if start != len(payload):")
    message = f"{record.name} of {{len(payload)}} bytes, not {{start}}"
    lines.append(f'            raise MalformedRecordError(f"{message}")')
    lines.append(f"        return cls({', '.join(name for name, _ in fields)})")
    return "\n".join(lines) + "\n"


def generate() -> str:
    """Return the text of ``messages.py``."""
    text = _HEADER + "\n".join(_class_text(record) for record in RECORDS)
    rows = "".join(f"    {record.kind}: {record.name},\n" for record in RECORDS)
    return f"{text}\n\nMESSAGES: dict[int, type] = {{\n{rows}}}\n"


def main(arguments: list[str]) -> int:
    """Write ``messages.py``, or verify it for ``--check``; return the exit status."""
    target = Path(__file__).with_name("messages.py")
    text = generate()
    if "--check" not in arguments:
        target.write_text(text)
        return 0
    if target.exists() and target.read_text() == text:
        return 0
    print("messages.py is out of date: run python -m cranklane.records.generate")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
