"""The gauges of a sidecar, read from its components at each scrape."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cranklane.common.memory_budget import MemoryBudget
from cranklane.runtime.restarting import FAILURES
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.capacity.slow_start import NO_WINDOW, SlowStart
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane.sidecar.table.adopted_table import AdoptedTable
from cranklane.sidecar.table.table_lease import TableLease
from cranklane.sidecar.telemetry.metrics import SidecarMetrics
from cranklane.sidecar.tree_admission.root_admission import RootAdmission
from cranklane.sidecar.worker.condition import WorkerCondition
from cranklane.sidecar.worker.stated_limit import StatedLimit

NO_RATE_LIMIT = -1.0
"""Value of the gauge while the worker states no limit; 0 is a possible limit."""


class GaugeSources(NamedTuple):
    """Components whose state the gauges expose.

    :ivar run_time_factor: returns the relative run time that the worker states.
    :ivar caller_connections: returns the number of open connections of callers.
    :ivar is_ready: returns whether callers may send requests.
    :ivar is_connected: returns whether a controller responds.
    """

    table: AdoptedTable
    lease: TableLease
    slots: Slots
    slow_start: SlowStart
    stated_limit: StatedLimit
    root_admission: RootAdmission
    run_time_factor: Callable[[], float]
    condition: WorkerCondition
    quarantine: Quarantine
    client_memory: MemoryBudget
    caller_connections: Callable[[], int]
    is_ready: Callable[[], bool]
    is_connected: Callable[[], bool]


def add_gauges(metrics: SidecarMetrics, sources: GaugeSources) -> None:
    """Register the gauges of a sidecar."""
    add = metrics.gauge
    table = sources.table
    slots = sources.slots
    condition = sources.condition
    quarantine = sources.quarantine
    add("cranklane_table_version", "Operator's version in force.", lambda: table.table.version)
    add("cranklane_running", "Requests at the worker now.", lambda: slots.running)
    add("cranklane_queued", "Requests that wait for a slot now.", lambda: slots.queued)
    add(
        "cranklane_root_admission_level",
        "Lowest admission level of the routes called here; 65535 admits all.",
        lambda: sources.root_admission.lowest,
    )
    add("cranklane_slots", "Slots of the worker.", lambda: slots.stated)
    slow_start = sources.slow_start
    add(
        "cranklane_slow_start_window",
        "Slots in use while the worker is in its slow start; -1 otherwise.",
        lambda: NO_WINDOW if slow_start.window is None else slow_start.window,
    )
    limit = sources.stated_limit
    add(
        "cranklane_worker_rate_limit",
        "Requests per second that the worker accepts; -1 without a limit.",
        lambda: NO_RATE_LIMIT if limit.rate is None else limit.rate,
    )
    add(
        "cranklane_worker_relative_run_time",
        "Run time against the usual one as the worker states it; 1 if it states none.",
        sources.run_time_factor,
    )
    add(
        "cranklane_worker_faults",
        "Part of runs failed by the worker.",
        lambda: condition.now().faults,
    )
    add(
        "cranklane_worker_slowness",
        "Run times against typical ones.",
        lambda: condition.now().slowness,
    )
    add(
        "cranklane_table_age",
        "Seconds since the table was newest.",
        lambda: sources.lease.age,
    )
    add(
        "cranklane_held_requests",
        "Requests held, or to be tried again.",
        lambda: len(quarantine.quarantined()),
    )
    add(
        "cranklane_unreadable_entries",
        "Entries of route table updates that could not be read.",
        lambda: table.unreadable_entries,
    )
    add(
        "cranklane_task_failures",
        "Unexpected exceptions of tasks, each logged as task_failed.",
        lambda: FAILURES.count,
    )
    memory = sources.client_memory
    add("cranklane_client_memory_bytes", "Held for clients.", lambda: memory.used_bytes)
    add("cranklane_client_memory_limit_bytes", "Limit on it.", lambda: memory.limit_bytes)
    add("cranklane_caller_connections", "Open ones of callers.", sources.caller_connections)
    add("cranklane_ready", "Whether callers may send requests.", sources.is_ready)
    add("cranklane_control_connected", "Whether a controller answers.", sources.is_connected)
