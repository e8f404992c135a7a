"""Parsing, inheritance and rejection of policies."""

import pytest

from cranklane.cli.explain import explain_target
from cranklane.errors import PolicyError
from cranklane.outcome import Criticality, Repeat
from cranklane.policy.adopted_policy import AdoptedPolicy
from cranklane.policy.compiler import compile_policy
from cranklane.policy.syntax import parse
from cranklane.records.messages import ConfigDelta, ConfigRow
from cranklane_lab.deployments import DEPLOYMENTS

TEXT = """
deadline 2s
retries 3
tenant a {
  share 60
  service s {
    slots 6; criticality low
    callers a.edge
    route r GET /r/* { criticality critical; repeat once }
    route q GET /q/** { deadline 500ms }
  }
}
"""


def compiled(text: str) -> AdoptedPolicy:
    rows = [ConfigRow(1, key, value) for key, value in compile_policy(parse(text)).items()]
    configuration = AdoptedPolicy()
    configuration.adopt(ConfigDelta(0, 1, True, rows))
    return configuration


def test_branches_inherit_and_override_settings():
    service = compiled(TEXT).service("a", "s")
    route = service.route("GET", "/r/1")
    assert (route.criticality, route.repeat) == (Criticality.CRITICAL, Repeat.ONCE)
    assert (route.deadline_ms, route.allowance) == (2000, 3)
    inherited = service.route("GET", "/q/1/2")
    assert (inherited.criticality, inherited.deadline_ms) == (Criticality.LOW, 500)
    assert service.route("POST", "/r/1") is None
    assert service.route("GET", "/r/1/2") is None


def test_explain_names_the_branch_that_set_a_value():
    lines = explain_target(parse(TEXT), "a.s.r")
    assert "criticality = critical  (set by a.s.r, line 9, column 36)" in lines
    assert "deadline_ms = 2000  (set by root, line 2, column 10)" in lines


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("deadline 2", "line 1, column 10: found '2'; expected a time"),
        (
            "tenant a {\n  servce s {}\n}",
            'line 2, column 3: found \'servce\'; expected ";" or "criticality" or "deadline"',
        ),
        ("tenant a {", "line 1, column 10: found the end"),
        ("criticality high", "line 1, column 13: found 'high'; expected one of background"),
        ("retries 99", "line 1, column 9: retries: found 99; expected 0 to 16"),
        ("tenant a{}\ntenant a{}", "line 2, column 8: tenant a is defined twice"),
        ("deadline 1s; deadline 2s", "line 1, column 23: deadline is stated twice here"),
        (
            "tenant a{ service s { route r GET /** /x {} } }",
            "found '/x'; expected \"{\"",
        ),
    ],
)
def test_errors_name_position_and_expected_tokens(text, expected):
    with pytest.raises(PolicyError) as error:
        compile_policy(parse(text))
    assert any(expected in problem for problem in error.value.problems), error.value.problems


def test_every_problem_is_reported_at_once():
    with pytest.raises(PolicyError) as error:
        compile_policy(parse("retries 99\ndeadline 0s\ntenant a { share 0 }"))
    assert len(error.value.problems) == 3


@pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
def test_policies_of_the_deployments_compile(name):
    deployment = DEPLOYMENTS[name]
    configuration = compiled(deployment.policy())
    for plan in deployment.services:
        service = configuration.service(name, plan.name)
        assert service.slots == plan.slots
        for work in plan.work.values():
            for child_service, path in work.children:
                assert configuration.service(name, child_service).route("GET", path) is not None
    for kind in deployment.requests:
        service = configuration.service(name, kind.service)
        route = service.route(kind.method, kind.path.format(n=1))
        assert (route.repeat is Repeat.ONCE) == kind.once
