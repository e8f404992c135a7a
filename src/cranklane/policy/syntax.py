"""Reads a policy text into its tree."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput

from cranklane.errors import PolicyError
from cranklane.outcome import Criticality, Repeat
from cranklane.policy.model import (
    Branch,
    Policy,
    Position,
    Route,
    Service,
    ServiceName,
    Stated,
    Tenant,
)

_UNIT_MS = {"ms": 1, "s": 1000, "m": 60_000}
_TERMINAL_WORDS = {
    "NAME": "a name",
    "COUNT": "a whole number",
    "DURATION": "a time such as 500ms, 2s or 1m",
    "PERCENT": "a percentage such as 10%",
    "PATTERN": "a path such as /minutes/*",
    "DIGEST": "sha256: and 64 hexadecimal digits",
    "METHOD": "one of GET, HEAD, POST, PUT, PATCH, DELETE",
    "CRITICALITY_VALUE": "one of background, low, normal, critical",
    "REPEAT_VALUE": "one of unrepeatable, repeatable, once",
    "_RETRY_RATIO": '"retry-ratio"',
    "_NEWLINE": "a line end",
    "SEMICOLON": '";"',
    "LBRACE": '"{"',
    "RBRACE": '"}"',
    "COMMA": '","',
    "DOT": '"."',
    "$END": "the end",
}


@cache
def _parser() -> Lark:
    grammar = Path(__file__).with_name("grammar.lark").read_text()
    return Lark(grammar, parser="lalr", propagate_positions=True)


def _expected_words(names: set[str]) -> str:
    words = {_TERMINAL_WORDS.get(name, f'"{name.lower().replace("_", "-")}"') for name in names}
    return " or ".join(sorted(words))


def _describe(error: UnexpectedInput, text: str) -> str:
    if isinstance(error, UnexpectedCharacters):
        found, names = (
            repr(text[error.pos_in_stream or 0]),
            {str(name) for name in error.allowed or ()},
        )
    elif isinstance(error, UnexpectedEOF):
        found, names = "the end", set(error.expected)
    else:
        token = getattr(error, "token", "")
        found = "the end" if getattr(token, "type", "") == "$END" else repr(str(token))
        names = set(getattr(error, "accepts", None) or getattr(error, "expected", None) or [])
    line, column = error.line, error.column
    if line < 1:
        lines = text.splitlines() or [""]
        line, column = len(lines), len(lines[-1]) + 1
    return f"line {line}, column {column}: found {found}; expected {_expected_words(names)}"


def parse(text: str) -> Policy:
    """Return the tree of a policy text.

    :raises PolicyError: with line, column and the words expected there.
    """
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        raise PolicyError([_describe(error, text)]) from error
    return _Reader(text).policy(tree)


def _position(item: Tree[Any] | Token) -> Position:
    if isinstance(item, Token):
        return Position(item.line or 1, item.column or 1)
    return Position(getattr(item.meta, "line", 1), getattr(item.meta, "column", 1))


def _duration_ms(text: str) -> int:
    """Return milliseconds.

    >>> _duration_ms("2s"), _duration_ms("250ms")
    (2000, 250)
    """
    digits = text.rstrip("ms")
    return int(digits) * _UNIT_MS[text[len(digits) :]]


class _Reader:
    """Builds the typed tree from the parser's; reports what is stated twice."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._problems: list[str] = []

    def policy(self, tree: Tree[Any]) -> Policy:
        policy = Policy()
        spans = []
        for item in tree.children:
            if item.data == "tenant":
                policy.tenants.append(self._tenant(item))
                spans.append((item.meta.start_pos, item.meta.end_pos))
            else:
                self._setting(policy, item)
        if self._problems:
            raise PolicyError(self._problems)
        policy.source = self._text_outside(spans)
        return policy

    def _text_outside(self, spans: list[tuple[int, int]]) -> str:
        kept, position = [], 0
        for start, end in spans:
            kept.append(self._text[position:start])
            position = end
        kept.append(self._text[position:])
        return "".join(kept).strip()

    def _tenant(self, tree: Tree[Any]) -> Tenant:
        name, *items = tree.children
        tenant = Tenant(name=str(name), position=_position(name))
        tenant.source = self._text[tree.meta.start_pos : tree.meta.end_pos]
        for item in items:
            if item.data == "service":
                tenant.services.append(self._service(item))
            elif item.data == "token":
                tenant.tokens.append(str(item.children[0]).removeprefix("sha256:"))
            else:
                self._setting(tenant, item)
        return tenant

    def _service(self, tree: Tree[Any]) -> Service:
        name, *items = tree.children
        service = Service(name=str(name), position=_position(name))
        for item in items:
            if item.data == "route":
                service.routes.append(self._route(item))
            elif item.data == "calls":
                service.calls += self._references(item)
            elif item.data == "callers":
                service.callers += self._references(item)
            else:
                self._setting(service, item)
        return service

    def _route(self, tree: Tree[Any]) -> Route:
        name, method, pattern, *items = tree.children
        route = Route(name=str(name), method=str(method), pattern=str(pattern))
        route.position = _position(name)
        for item in items:
            self._setting(route, item)
        return route

    def _references(self, tree: Tree[Any]) -> list[Stated[ServiceName]]:
        return [
            Stated(ServiceName(str(item.children[0]), str(item.children[1])), _position(item))
            for item in tree.children
        ]

    def _setting(self, branch: Branch, tree: Tree[Any]) -> None:
        token = tree.children[0]
        name, value = _setting_value(str(tree.data), [str(item) for item in tree.children])
        if getattr(branch, name) is not None:
            where = _position(token)
            word = str(tree.data).replace("_", "-")
            self._problems.append(
                f"line {where.line}, column {where.column}: {word} is stated twice here"
            )
        setattr(branch, name, Stated(value, _position(token)))


def _setting_value(word: str, texts: list[str]) -> tuple[str, Any]:
    text = texts[0]
    match word:
        case "ledger":
            return word, tuple(texts)
        case "criticality":
            return word, Criticality[text.upper()]
        case "repeat":
            return word, Repeat[text.upper()]
        case "deadline":
            return "deadline_ms", _duration_ms(text)
        case "retry_ratio":
            return "retry_ratio_permille", int(text.rstrip("%")) * 10
        case _:
            return word, int(text)
