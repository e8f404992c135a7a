"""Gate decisions for requests suspected of crashing workers."""

import pytest

from cranklane.sidecar.admission.isolated_runs import Treatment, treatment_of
from cranklane.sidecar.quarantine.rules import QuarantineState

CLEAR, SUSPECTED, QUARANTINED, ON_PROBATION = QuarantineState


@pytest.mark.parametrize(
    ("state", "level", "is_known_retry", "is_isolation_gate", "treatment"),
    [
        (CLEAR, 0, False, False, Treatment.RUN),
        (CLEAR, 0, True, True, Treatment.RUN),
        (QUARANTINED, 2, False, False, Treatment.REFUSE),
        (QUARANTINED, 2, True, True, Treatment.REFUSE),
        (SUSPECTED, 1, True, False, Treatment.RUN),
        (SUSPECTED, 1, True, True, Treatment.RUN),
        (SUSPECTED, 1, False, False, Treatment.REDIRECT),
        (SUSPECTED, 1, False, True, Treatment.ISOLATE),
        (SUSPECTED, 2, True, False, Treatment.REDIRECT),
        (SUSPECTED, 2, True, True, Treatment.ISOLATE),
        (ON_PROBATION, 1, True, False, Treatment.REDIRECT),
        (ON_PROBATION, 1, True, True, Treatment.ISOLATE),
        (ON_PROBATION, 2, False, False, Treatment.REDIRECT),
    ],
)
def test_treatment_by_quarantine_state(state, level, is_known_retry, is_isolation_gate, treatment):
    assert treatment_of(state, level, is_known_retry, is_isolation_gate) is treatment
