"""Loads process settings from a TOML file and command-line flags.

A settings class is a dataclass with fields declared by :func:`setting`. All problems are
reported at once, each with source, key, found value and expected value.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, field, fields
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from cranklane.errors import SettingsError
from cranklane.runtime.interface import parse_address

_Settings = TypeVar("_Settings")
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class Check(NamedTuple):
    """Validation of a setting's value.

    :ivar expected: description of a valid value.
    :ivar accepts: returns whether a value is valid.
    :ivar parse: converts the text of a flag to a value; raises ValueError if it is invalid.
    """

    expected: str
    accepts: Callable[[Any], bool]
    parse: Callable[[str], Any] = str


def _is_address(value: Any) -> bool:
    try:
        parse_address(value)
    except (ValueError, AttributeError):
        return False
    return True


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def _is_addresses(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(_is_address(item) for item in value)


ADDRESS = Check("an address like 127.0.0.1:7000", _is_address)
ADDRESSES = Check(
    "a list of addresses like 127.0.0.1:7000", _is_addresses, lambda text: text.split(",")
)
NAME = Check("a name of small letters, digits and dashes", _is_name)
OPTIONAL_NAME = Check(
    "a name of small letters, digits and dashes, or nothing",
    lambda value: value == "" or _is_name(value),
)
OPTIONAL_ADDRESS = Check(
    "an address like 127.0.0.1:7000, or nothing", lambda value: value == "" or _is_address(value)
)
ADDRESSES_OR_NONE = Check(
    "a list of addresses like 127.0.0.1:7000, or an empty one",
    lambda value: value == [] or _is_addresses(value),
    lambda text: text.split(",") if text else [],
)
DIGEST = Check(
    "64 hexadecimal digits, or nothing",
    lambda value: isinstance(value, str) and re.fullmatch("([0-9a-f]{64})?", value) is not None,
)
TEXT = Check("a text", lambda value: isinstance(value, str))


def _parse_yes_or_no(text: str) -> bool:
    if text not in ("yes", "no"):
        raise ValueError(text)
    return text == "yes"


YES_OR_NO = Check(
    "true or false (yes or no as a flag)", lambda value: isinstance(value, bool), _parse_yes_or_no
)


def seconds(minimum: float, maximum: float) -> Check:
    """Return a check for a number of seconds within inclusive bounds."""
    return Check(
        f"seconds from {minimum:g} to {maximum:g}",
        lambda value: (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and minimum <= value <= maximum
        ),
        float,
    )


def whole_number(minimum: int, maximum: int) -> Check:
    """Return a check for an integer within inclusive bounds."""
    return Check(
        f"a whole number from {minimum} to {maximum}",
        lambda value: (
            isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum
        ),
        int,
    )


def setting(check: Check, default: Any = MISSING, help: str = "") -> Any:  # noqa: A002
    """Declare a field of a settings class; a field without a default is required.

    :param help: help text of the command-line flag.
    """
    metadata = {"check": check, "help": help}
    if default is MISSING:
        return field(metadata=metadata)
    if isinstance(default, list):
        return field(default_factory=lambda: list(default), metadata=metadata)
    return field(default=default, metadata=metadata)


def _is_required(declared: Field[Any]) -> bool:
    return declared.default is MISSING and declared.default_factory is MISSING


def _read_file(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: is not TOML: {error}"]) from error


def load(
    kind: type[_Settings], path: str | None = None, flags: Mapping[str, str | None] | None = None
) -> _Settings:
    """Load and check settings; a flag overrides the file.

    :param kind: settings class.
    :param path: path of a TOML file, or None.
    :param flags: text of each flag by key; None for a flag that is not set.
    :raises SettingsError: with all invalid, missing and unknown keys.
    """
    declared_fields = {declared.name: declared for declared in fields(kind)}  # type: ignore[arg-type]
    problems: list[str] = []
    values: dict[str, Any] = {}
    for key, value in (_read_file(path) if path else {}).items():
        if key in declared_fields:
            _add_value(declared_fields[key], key, value, path or "", values, problems)
        else:
            known_keys = ", ".join(sorted(declared_fields))
            problems.append(f"{path}: {key}: unknown key; known keys are {known_keys}")
    for key, text in (flags or {}).items():
        if text is not None:
            _add_flag_value(declared_fields[key], key, text, values, problems)
    for key, declared in declared_fields.items():
        if key not in values and _is_required(declared):
            expected = declared.metadata["check"].expected
            problems.append(f"{path or 'flags'}: {key}: missing; expected {expected}")
    if problems:
        raise SettingsError(problems)
    return kind(**values)


def _add_value(
    declared: Field[Any],
    key: str,
    value: Any,
    source: str,
    values: dict[str, Any],
    problems: list[str],
) -> None:
    check: Check = declared.metadata["check"]
    values[key] = value
    if not check.accepts(value):
        problems.append(f"{source}: {key}: found {value!r}; expected {check.expected}")


def _add_flag_value(
    declared: Field[Any], key: str, text: str, values: dict[str, Any], problems: list[str]
) -> None:
    check: Check = declared.metadata["check"]
    source = f"--{key.replace('_', '-')}"
    try:
        value = check.parse(text)
    except ValueError:
        problems.append(f"{source}: found {text!r}; expected {check.expected}")
        values[key] = text
        return
    _add_value(declared, key, value, source, values, problems)
