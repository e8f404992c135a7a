"""Records of the ledger, and the rows of a compiled policy."""

from __future__ import annotations

from cranklane.records.definition import Record

LEDGER_RECORDS = (
    Record(
        30,
        "LedgerBegin",
        "Requests a ledger entry for the start of a ``once`` call. ``lease_ms`` is the maximum "
        "time from this request to the first byte sent to the worker, ``run_ms`` the maximum "
        "run time after that.",
        "attempt:u64 lease_ms:u32 run_ms:u32 digest:bytes tenant:str service:str key:str",
    ),
    Record(
        31,
        "LedgerGrant",
        "Response to LedgerBegin. ``decision`` is a LedgerDecision; the other fields hold a stored "
        "response.",
        "decision:u8 status:u16 headers:pairs body:bytes",
    ),
    Record(
        32,
        "LedgerFinish",
        "Stores the result of a started entry. ``outcome`` is an Outcome.",
        "attempt:u64 outcome:u8 status:u16 tenant:str service:str key:str headers:pairs body:bytes",
    ),
    Record(33, "LedgerDone", "Response to LedgerFinish.", "stored:bool"),
    Record(
        34,
        "LedgerUnavailable",
        "Response of a process that cannot handle a ledger request. ``not_run``: the request "
        "certainly changed nothing; ``leader`` names the process to ask instead, if known.",
        "not_run:bool leader:str",
    ),
    Record(
        35,
        "LedgerEntry",
        "An entry of the ledger. ``started``, ``running_until`` and ``expires`` are seconds since "
        "1970; ``outcome`` is valid only if ``finished``.",
        "attempt:u64 outcome:u8 finished:bool started:f64 running_until:f64 expires:f64 "
        "status:u16 digest:bytes tenant:str service:str key:str headers:pairs body:bytes",
    ),
    Record(
        36,
        "LedgerBatch",
        "Command of the ledger's log: a batch of requests, applied in order. ``when`` is the "
        "leader's wall clock in seconds since 1970.",
        "when:f64 begins:[LedgerBegin] finishes:[LedgerFinish]",
    ),
    Record(
        37,
        "LedgerState",
        "Complete state of a ledger group. ``entries`` holds packed LedgerEntry records, each "
        "preceded by its name and size.",
        "now:f64 entries:bytes",
    ),
    Record(
        40,
        "TenantRow",
        "Compiled tenant with its share and the digests of its tokens.",
        "share:u32 name:str tokens:strings",
    ),
    Record(
        41,
        "RouteRow",
        "Compiled route with all inherited values resolved. ``caps``: the policy sets "
        "``criticality``, which therefore also limits calls made for a more critical request.",
        "criticality:u8 caps:bool repeat:u8 deadline_ms:u32 allowance:u16 name:str method:str "
        "pattern:str",
    ),
    Record(
        42,
        "ServiceRow",
        "Compiled service. ``slots`` is the configured concurrency of a worker; ``depth_below`` "
        "is 0 for a service without downstream calls; ``ledgers`` are the ledger groups of its "
        "``once`` calls.",
        "slots:u32 queue:u32 depth_below:u8 retry_ratio_permille:u16 tenant:str name:str "
        "calls:strings callers:strings ledgers:strings routes:[RouteRow]",
    ),
    Record(
        50, "LogEntry", "An entry of a replicated log.", "term:u64 index:u64 kind:u8 data:bytes"
    ),
)
