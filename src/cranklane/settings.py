"""Process settings: a TOML file with flags over it, checked as a whole.

A settings class is a dataclass whose fields carry a check through
:func:`setting`. Each problem names the source, the key, what was found and what
was expected; all problems are reported at once.
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
    """A test of one value.

    :ivar expected: what a valid value is, in words.
    :ivar accepts: returns whether a value is valid.
    :ivar parse: turns a flag's text into a value.
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
    """Return the check of a time in seconds between two bounds."""
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
    """Return the check of a whole number between two bounds."""
    return Check(
        f"a whole number from {minimum} to {maximum}",
        lambda value: (
            isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum
        ),
        int,
    )


def setting(check: Check, default: Any = MISSING, help: str = "") -> Any:  # noqa: A002
    """Declare one field of a settings class."""
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
        return tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: is not TOML: {error}"]) from error


def load(
    kind: type[_Settings], path: str | None = None, flags: Mapping[str, str | None] | None = None
) -> _Settings:
    """Return checked settings from a file and flags; a flag overrides the file.

    :param kind: the settings class.
    :param path: a TOML file, or None.
    :param flags: text given for a key on the command line; None is not given.
    :raises SettingsError: naming every invalid, missing and unknown key.
    """
    declared = {item.name: item for item in fields(kind)}  # type: ignore[arg-type]
    problems: list[str] = []
    values: dict[str, Any] = {}
    for key, value in (_read_file(path) if path else {}).items():
        if key in declared:
            _take(declared[key], key, value, path or "", values, problems)
        else:
            known = ", ".join(sorted(declared))
            problems.append(f"{path}: {key}: unknown key; known keys are {known}")
    for key, text in (flags or {}).items():
        if text is not None:
            _take_flag(declared[key], key, text, values, problems)
    for key, item in declared.items():
        if key not in values and _is_required(item):
            expected = item.metadata["check"].expected
            problems.append(f"{path or 'flags'}: {key}: missing; expected {expected}")
    if problems:
        raise SettingsError(problems)
    return kind(**values)


def _take(
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


def _take_flag(
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
    _take(declared, key, value, source, values, problems)
