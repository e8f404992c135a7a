"""What one step of a scale run measures, and the slopes over the steps."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import linear_regression

MEBIBYTE = 1024 * 1024


@dataclass
class Step:
    """Measurements with one number of hollow nodes; times in seconds, sizes in bytes.

    :ivar join_seconds: from the first start until all nodes had the newest version.
    :ivar control_idle_cpu: part of a core while nothing changes.
    :ivar node_idle_cpu: part of a core of one hollow node while nothing changes.
    :ivar node_idle_received: bytes a second from control to one node, idle.
    :ivar change_bytes: bytes from control to one node for one change, on average.
    :ivar change_seconds: from the operator's answer until in force on the last
        node, for each change.
    :ivar change_cpu: control's processor seconds for one change.
    :ivar real_memory: resident bytes of the real nodes, on average.
    :ivar real_idle_cpu: part of a core of one real node while nothing changes.
    """

    nodes: int
    join_seconds: float = 0.0
    control_memory: int = 0
    control_idle_cpu: float = 0.0
    node_memory: float = 0.0
    node_idle_cpu: float = 0.0
    node_idle_received: float = 0.0
    node_idle_sent: float = 0.0
    edit_seconds: list[float] = field(default_factory=list)
    change_seconds: list[float] = field(default_factory=list)
    change_bytes: float = 0.0
    change_cpu: float = 0.0
    real_memory: int = 0
    real_idle_cpu: float = 0.0


@dataclass
class ScaleResult:
    """All steps of a run.

    :ivar takeover_seconds: after the last step, from the kill of one control
        process until its nodes are connected to others; 0 when there is one.
    :ivar control_back_seconds: from the kill of all control processes, which
        start again at once, until one leads and all vote.
    :ivar restart_seconds: the same until every node is connected.
    :ivar restart_cpu: processor seconds of all control processes until then.
    """

    controls: int = 1
    steps: list[Step] = field(default_factory=list)
    takeover_seconds: float = 0.0
    control_back_seconds: float = 0.0
    restart_seconds: float = 0.0
    restart_cpu: float = 0.0
    log_bytes: int = 0
    revisions: int = 0

    def slope(self, name: str) -> tuple[float, float]:
        """Return (change for each node of one control process, value at no nodes)."""
        nodes = [step.nodes / self.controls for step in self.steps]
        values = [float(getattr(step, name)) for step in self.steps]
        if len(nodes) < 2:
            return 0.0, values[0]
        slope, intercept = linear_regression(nodes, values)
        return slope, intercept


def print_result(result: ScaleResult) -> None:
    """Print a table of the steps, then the slopes."""
    print(
        f"{'nodes':>6}{'join s':>8}{'ctl MB':>8}{'ctl cpu%':>9}{'node KB':>9}{'node cpu%':>10}"
        f"{'rx B/s':>8}{'tx B/s':>8}{'edit ms':>9}{'force ms':>9}{'chg B':>8}{'chg cpu ms':>11}"
        f"{'real MB':>9}{'real cpu%':>10}"
    )
    for step in result.steps:
        edits = sorted(step.edit_seconds)
        print(
            f"{step.nodes:>6}{step.join_seconds:>8.2f}{step.control_memory / MEBIBYTE:>8.1f}"
            f"{step.control_idle_cpu * 100:>9.2f}{step.node_memory / 1024:>9.1f}"
            f"{step.node_idle_cpu * 100:>10.4f}{step.node_idle_received:>8.1f}"
            f"{step.node_idle_sent:>8.1f}{edits[len(edits) // 2] * 1000:>9.1f}"
            f"{max(step.change_seconds) * 1000:>9.1f}{step.change_bytes:>8.1f}"
            f"{step.change_cpu * 1000:>11.2f}{step.real_memory / MEBIBYTE:>9.1f}"
            f"{step.real_idle_cpu * 100:>10.3f}"
        )
    for name, unit, factor in (
        ("control_memory", "KB", 1 / 1024),
        ("control_idle_cpu", "% of a core", 100),
        ("change_cpu", "ms", 1000),
    ):
        slope, intercept = result.slope(name)
        print(
            f"{name}: {intercept * factor:.3f} + {slope * factor:.5f} {unit} for each node of "
            "one control process"
        )
    print(
        f"one of {result.controls} control processes killed: its nodes had another after "
        f"{result.takeover_seconds:.2f} s"
    )
    print(
        f"all killed and started again: a leader after {result.control_back_seconds:.2f} s, all "
        f"nodes connected after {result.restart_seconds:.2f} s, "
        f"{result.restart_cpu:.2f} s of their processor time"
    )
    print(f"data folder: {result.log_bytes} bytes after {result.revisions} accepted changes")
