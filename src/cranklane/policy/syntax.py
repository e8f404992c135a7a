"""Parses a policy text into a policy tree."""

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
    Located,
    Policy,
    Position,
    Route,
    Service,
    ServiceName,
    Tenant,
)

_UNIT_MS = {"ms": 1, "s": 1000, "m": 60_000}
_TERMINAL_DESCRIPTIONS = {
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


def _expected_tokens(names: set[str]) -> str:
    descriptions = {
        _TERMINAL_DESCRIPTIONS.get(name, f'"{name.lower().replace("_", "-")}"') for name in names
    }
    return " or ".join(sorted(descriptions))


def _describe(error: UnexpectedInput, text: str) -> str:
    if isinstance(error, UnexpectedCharacters):
        found_text, names = (
            repr(text[error.pos_in_stream or 0]),
            {str(name) for name in error.allowed or ()},
        )
    elif isinstance(error, UnexpectedEOF):
        found_text, names = "the end", set(error.expected)
    else:
        token = getattr(error, "token", "")
        found_text = "the end" if getattr(token, "type", "") == "$END" else repr(str(token))
        names = set(getattr(error, "accepts", None) or getattr(error, "expected", None) or [])
    line, column = error.line, error.column
    if line < 1:
        lines = text.splitlines() or [""]
        line, column = len(lines), len(lines[-1]) + 1
    return f"line {line}, column {column}: found {found_text}; expected {_expected_tokens(names)}"


def parse(text: str) -> Policy:
    """Parse a policy text.

    :raises PolicyError: with line, column and expected tokens of a syntax error, or with all
        settings that a branch sets more than once.
    """
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        raise PolicyError([_describe(error, text)]) from error
    return _Reader(text).policy(tree)


def _position(element: Tree[Any] | Token) -> Position:
    if isinstance(element, Token):
        return Position(element.line or 1, element.column or 1)
    return Position(getattr(element.meta, "line", 1), getattr(element.meta, "column", 1))


def _duration_ms(text: str) -> int:
    """Convert a duration to milliseconds.

    >>> _duration_ms("2s"), _duration_ms("250ms")
    (2000, 250)
    """
    digits = text.rstrip("ms")
    return int(digits) * _UNIT_MS[text[len(digits) :]]


class _Reader:
    """Converts the parse tree to a policy tree and reports duplicate settings."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._problems: list[str] = []

    def policy(self, tree: Tree[Any]) -> Policy:
        policy = Policy()
        spans = []
        for statement in tree.children:
            if statement.data == "tenant":
                policy.tenants.append(self._tenant(statement))
                spans.append((statement.meta.start_pos, statement.meta.end_pos))
            else:
                self._setting(policy, statement)
        if self._problems:
            raise PolicyError(self._problems)
        policy.source = self._text_outside(spans)
        return policy

    def _text_outside(self, spans: list[tuple[int, int]]) -> str:
        outside, position = [], 0
        for start, end in spans:
            outside.append(self._text[position:start])
            position = end
        outside.append(self._text[position:])
        return "".join(outside).strip()

    def _tenant(self, tree: Tree[Any]) -> Tenant:
        name, *statements = tree.children
        tenant = Tenant(name=str(name), position=_position(name))
        tenant.source = self._text[tree.meta.start_pos : tree.meta.end_pos]
        for statement in statements:
            if statement.data == "service":
                tenant.services.append(self._service(statement))
            elif statement.data == "token":
                tenant.tokens.append(str(statement.children[0]).removeprefix("sha256:"))
            else:
                self._setting(tenant, statement)
        return tenant

    def _service(self, tree: Tree[Any]) -> Service:
        name, *statements = tree.children
        service = Service(name=str(name), position=_position(name))
        for statement in statements:
            if statement.data == "route":
                service.routes.append(self._route(statement))
            elif statement.data == "calls":
                service.calls += self._references(statement)
            elif statement.data == "callers":
                service.callers += self._references(statement)
            else:
                self._setting(service, statement)
        return service

    def _route(self, tree: Tree[Any]) -> Route:
        name, method, pattern, *statements = tree.children
        route = Route(name=str(name), method=str(method), pattern=str(pattern))
        route.position = _position(name)
        for statement in statements:
            self._setting(route, statement)
        return route

    def _references(self, tree: Tree[Any]) -> list[Located[ServiceName]]:
        return [
            Located(ServiceName(str(name.children[0]), str(name.children[1])), _position(name))
            for name in tree.children
        ]

    def _setting(self, branch: Branch, tree: Tree[Any]) -> None:
        token = tree.children[0]
        name, value = _setting_value(str(tree.data), [str(child) for child in tree.children])
        if getattr(branch, name) is not None:
            where = _position(token)
            keyword = str(tree.data).replace("_", "-")
            self._problems.append(
                f"line {where.line}, column {where.column}: {keyword} is stated twice here"
            )
        setattr(branch, name, Located(value, _position(token)))


def _setting_value(keyword: str, texts: list[str]) -> tuple[str, Any]:
    text = texts[0]
    match keyword:
        case "ledger":
            return keyword, tuple(texts)
        case "criticality":
            return keyword, Criticality[text.upper()]
        case "repeat":
            return keyword, Repeat[text.upper()]
        case "deadline":
            return "deadline_ms", _duration_ms(text)
        case "retry_ratio":
            return "retry_ratio_permille", int(text.rstrip("%")) * 10
        case _:
            return keyword, int(text)
