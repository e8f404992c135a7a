"""Documents are compiled together; only the changed document is parsed again."""

from __future__ import annotations

import pytest
from result import Err

from cranklane.control import compilation
from cranklane.control.compilation import DocumentCompiler
from cranklane.control.store import ROOT, ConfigurationStore, EditResult
from cranklane.records.messages import EditCommand, ServiceRow
from large_policy import TENANTS, service_name, tenant_document, tenant_name


def put(store: ConfigurationStore, compiler: DocumentCompiler, name: str, text: str) -> None:
    document = store.document(name)
    command = EditCommand(
        base=document.version if document is not None else 0,
        compiled_at=store.revision,
        when=0.0,
        document=name,
        operator="tester",
        request=f"request-{store.revision}",
        text=text,
        rows=compiler.compile(name, text).unwrap(),
    )
    assert store.edit(command).result is EditResult.ACCEPTED


@pytest.fixture
def store() -> ConfigurationStore:
    store = ConfigurationStore()
    compiler = DocumentCompiler(store)
    for tenant in range(3):
        put(store, compiler, tenant_name(tenant), tenant_document(tenant, 3))
    return store


def test_only_the_changed_document_is_parsed(
    store: ConfigurationStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    compiler = DocumentCompiler(store)
    compiler.compile("t00", tenant_document(0, 3)).unwrap()
    parsed: list[str] = []
    original = compilation.parse
    monkeypatch.setattr(compilation, "parse", lambda text: parsed.append(text) or original(text))
    changed = tenant_document(1, 3, slots=9)
    rows = compiler.compile("t01", changed).unwrap()
    assert parsed == [changed]
    assert [row.key for row in rows] == ["service/t01/s0"]
    assert ServiceRow.unpack(rows[0].value).slots == 9


def test_cached_trees_compile_to_the_same_rows(store: ConfigurationStore) -> None:
    caching = DocumentCompiler(store)
    for slots in (9, 10, 11):
        put(store, caching, "t02", tenant_document(2, 3, slots=slots))
    put(store, caching, ROOT, "deadline 3s")
    text = tenant_document(0, 3, slots=20)
    assert caching.compile("t00", text) == DocumentCompiler(store).compile("t00", text)


def test_an_invalid_text_changes_nothing(store: ConfigurationStore) -> None:
    compiler = DocumentCompiler(store)
    revision = store.revision
    assert isinstance(compiler.compile("t00", "tenant t00 { slots }"), Err)
    assert isinstance(compiler.compile("t00", tenant_document(1, 3)), Err)
    assert isinstance(compiler.compile(ROOT, tenant_document(1, 3)), Err)
    assert store.revision == revision
    assert compiler.compile("t00", tenant_document(0, 3)).unwrap() == []


def test_a_large_policy_compiles() -> None:
    store = ConfigurationStore()
    compiler = DocumentCompiler(store)
    for tenant in range(TENANTS):
        put(store, compiler, tenant_name(tenant), tenant_document(tenant))
    keys = {row.key for row in store.delta(0).rows}
    assert f"service/{tenant_name(TENANTS - 1)}/{service_name(9)}" in keys
    assert sum(key.startswith("service/") for key in keys) == 410
