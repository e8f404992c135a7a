"""Records by which control and its subscribers exchange configuration, members and usage."""

from __future__ import annotations

from cranklane.records.definition import Record

DISTRIBUTION_RECORDS = (
    Record(
        20,
        "Subscribe",
        "Subscribes a node to the configuration and members of its service and of the services "
        "that it calls, or to ``everything``. ``session`` counts the node's connections; "
        "``last_resort`` also accepts a control process that has lost contact with the others.",
        "incarnation:u64 version:u64 session:u32 everything:bool last_resort:bool node:str "
        "tenant:str service:str zone:str address:str instance:str slots:u32 state:u8",
    ),
    Record(
        21,
        "ConfigRow",
        "One row of compiled configuration; an empty value deletes the key.",
        "revision:u64 key:str value:bytes",
    ),
    Record(
        22,
        "ConfigDelta",
        "Rows that changed after ``base`` up to ``version``; ``whole``: they replace all rows.",
        "base:u64 version:u64 whole:bool rows:[ConfigRow]",
    ),
    Record(
        23,
        "Member",
        "A node of a service. ``sequence`` orders the states of one incarnation. ``instance`` "
        "identifies the process start of the node's worker and ``slots`` is the worker's "
        "concurrency, if reported. ``faults`` is the percentage of failed runs and ``slowness`` "
        "the latency in tenths of the expected latency, both as seen by the local sidecar.",
        "incarnation:u64 sequence:u32 state:u8 node:str tenant:str service:str zone:str "
        "address:str slots:u32 instance:str faults:u8 slowness:u8",
    ),
    Record(
        24,
        "MemberDelta",
        "Changed members, or all members for a new subscriber.",
        "whole:bool members:[Member]",
    ),
    Record(
        25,
        "Heartbeat",
        "Renews a node's lease and reports its version in force and its worker; ``faults`` and "
        "``slowness`` as in Member. ``asked_us`` is the sender's monotonic clock, repeated in "
        "the HeartbeatAnswer; 0 requests no answer.",
        "incarnation:u64 version:u64 state:u8 slots:u32 service:str instance:str faults:u8 "
        "slowness:u8 asked_us:u64",
    ),
    Record(
        26,
        "ControlReplicas",
        "Current addresses at which nodes can subscribe to the control group.",
        "addresses:strings",
    ),
    Record(
        27,
        "IncarnationKnown",
        "Informs a subscriber of a newer incarnation of its node name: the clock was ahead at an "
        "earlier start, or is behind now.",
        "incarnation:u64",
    ),
    Record(
        28,
        "HeartbeatAnswer",
        "Response to a Heartbeat with ``asked_us``. ``confirmed``: ``age_us`` before this "
        "response, ``revision`` was the group's newest, according to a leader that had a quorum "
        "at that moment.",
        "asked_us:u64 confirmed:bool age_us:u64 revision:u64",
    ),
    Record(
        29,
        "TenantUsage",
        "Request counts of a tenant: ``offered`` received, ``admitted`` of these admitted, "
        "``returned`` of the admitted ones not run.",
        "offered:u32 admitted:u32 returned:u32 tenant:str",
    ),
    Record(
        38,
        "UsageReport",
        "Requests at a sidecar since its last report to control.",
        "usage:[TenantUsage]",
    ),
    Record(
        39,
        "UsageTotals",
        "Usage reported to one control process by its subscribers, sent to another one: counts "
        "since ``began_us``, the start of the sender by its monotonic clock, of the tenants with "
        "changed counts. ``nodes`` is the sender's current number of reporting subscribers.",
        "began_us:u64 nodes:u32 owner:str totals:[TenantUsage]",
    ),
    Record(
        43,
        "TenantShare",
        "Fraction of a tenant's requests that a sidecar admits, in permille.",
        "permille:u16 tenant:str",
    ),
    Record(
        44,
        "TenantShares",
        "Fractions that changed since the last TenantShares on this connection; ``whole``: all "
        "others are 1000.",
        "whole:bool shares:[TenantShare]",
    ),
)
