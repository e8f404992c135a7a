"""Each scenario passes under fixed seeds and fails with a mechanism switched off."""

import pytest

from cranklane_lab.scenarios.base import run_seed
from cranklane_lab.scenarios.library import SCENARIOS

SEEDS = (1, 2, 3)
SEEDS_WITHOUT = range(1, 13)

WITHOUT = [
    (scenario.name, mechanism)
    for scenario in SCENARIOS.values()
    for mechanism in scenario.mechanisms
]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_holds(name, seed):
    result = run_seed(SCENARIOS[name], seed)
    assert not result.violations, result.replay


@pytest.mark.parametrize(("name", "mechanism"), WITHOUT)
def test_scenario_breaks_without_its_mechanism(name, mechanism):
    scenario = SCENARIOS[name]
    broken = (run_seed(scenario, seed, (mechanism,)).violations for seed in SEEDS_WITHOUT)
    assert any(broken), f"{name} passes without {mechanism}, so it doesn't test it"
