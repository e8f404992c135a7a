"""Schema of every record sent between processes.

:mod:`cranklane.records.generate` turns this into ``messages.py``. A record is
one ``struct`` of its numbers and of the lengths of its variable fields,
followed by the variable fields' bytes in order.

Field types: ``u8 u16 u32 u64 f64 bool`` are numbers, ``str`` (up to 64 KiB),
``text`` and ``bytes`` are variable, ``strings`` is a list of text, ``pairs`` is
a list of (text, text), and ``[Name]`` is a list of another record.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Record:
    """One record: its number on the wire, its name, its purpose and its fields."""

    kind: int
    name: str
    purpose: str
    fields: str


RECORDS = (
    Record(
        1,
        "Hello",
        "First record each way on a connection: who is there.",
        "protocol:u16 incarnation:u64 version:u64 node:str tenant:str service:str zone:str",
    ),
    Record(
        2,
        "Ping",
        "Keeps an idle connection known to be alive and asks for a LoadReport.",
        "version:u64",
    ),
    Record(
        3,
        "LoadReport",
        "A node's own view of its worker; ``wait_us`` is the expected queue wait.",
        "in_flight:u32 queued:u32 limit:u32 wait_us:u32 draining:bool version:u64",
    ),
    Record(4, "GoingAway", "The sender takes no new calls on this connection.", "reason:u8"),
    Record(
        10,
        "CallOpen",
        "Opens a call. ``deadline_ms`` is what is left of the root request's time; "
        "``allowance`` is the share of retries this call may spend.",
        "deadline_ms:u32 allowance:u16 criticality:u8 depth:u8 attempt:u8 root:u64 window:u32 "
        "tenant:str caller:str service:str method:str path:str key:str "
        "headers:pairs body:bytes",
    ),
    Record(11, "CallCancel", "Nobody waits for this call any more.", "reason:u8"),
    Record(
        12,
        "AnswerHead",
        "First record of an answer. ``refused_below`` is one more than the highest "
        "criticality refused lately for the call's tenant, 0 for none.",
        "outcome:u8 reason:u8 status:u16 retry_after_ms:u32 allowance:u16 in_flight:u32 "
        "limit:u32 wait_us:u32 refused_below:u8 draining:bool final:bool headers:pairs",
    ),
    Record(13, "AnswerBody", "One piece of an answer's body.", "sequence:u32 data:bytes"),
    Record(
        14,
        "AnswerEnd",
        "The answer is whole: its body's length, CRC-32 and the unspent allowance.",
        "length:u64 checksum:u32 allowance:u16",
    ),
    Record(15, "AnswerAbort", "The answer ends here, cut.", "reason:u8 allowance:u16"),
    Record(16, "Credit", "The receiver can take this many more body bytes.", "size:u32"),
    Record(
        20,
        "Subscribe",
        "A node asks a control process for configuration and members: those of its own "
        "service and of those it calls, or everything. ``session`` counts its connections; "
        "``last_resort`` takes a control process that has lost touch with the others too.",
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
        "Rows changed after ``base`` up to ``version``; ``whole`` replaces everything.",
        "base:u64 version:u64 whole:bool rows:[ConfigRow]",
    ),
    Record(
        23,
        "Member",
        "One node of a service. ``sequence`` orders the states of one incarnation; "
        "``instance`` is the start of the worker beside it and ``slots`` how many calls that "
        "runs at once, where the worker has reported them. ``faults`` and ``slowness`` are the "
        "verdict of the worker's own sidecar: percent of failed runs, and tenths of the expected "
        "latency.",
        "incarnation:u64 sequence:u32 state:u8 node:str tenant:str service:str zone:str "
        "address:str slots:u32 instance:str faults:u8 slowness:u8",
    ),
    Record(
        24,
        "MemberDelta",
        "Members that changed, or all for a new subscriber.",
        "whole:bool members:[Member]",
    ),
    Record(
        25,
        "Heartbeat",
        "Renews a node's lease and reports the version in force there and its worker; "
        "``faults`` and ``slowness`` as in Member. ``asked_us`` is the sender's monotonic clock, "
        "for a HeartbeatAnswer; 0 asks for none.",
        "incarnation:u64 version:u64 state:u8 slots:u32 service:str instance:str faults:u8 "
        "slowness:u8 asked_us:u64",
    ),
    Record(
        26,
        "ControlReplicas",
        "Addresses at which nodes may subscribe to control, as its group states them now.",
        "addresses:strings",
    ),
    Record(
        27,
        "IncarnationKnown",
        "A node of this name was known with a newer incarnation: its clock was ahead, or "
        "that of the node that subscribes now is behind.",
        "incarnation:u64",
    ),
    Record(
        28,
        "HeartbeatAnswer",
        "Answer to a heartbeat that asked for one. ``confirmed``: ``revision`` was the "
        "newest of the whole group ``age_us`` before the answer was made, by a leader that a "
        "quorum supported at that moment.",
        "asked_us:u64 confirmed:bool age_us:u64 revision:u64",
    ),
    Record(
        29,
        "TenantUsage",
        "Requests of one tenant: ``offered`` came, ``admitted`` of them were admitted, "
        "``returned`` of those were then not run.",
        "offered:u32 admitted:u32 returned:u32 tenant:str",
    ),
    Record(
        38,
        "UsageReport",
        "A sidecar reports to control the requests since its last report.",
        "usage:[TenantUsage]",
    ),
    Record(
        39,
        "UsageTotals",
        "One control process passes on to another what its subscribers have reported: counts "
        "since ``began_us``, its own start by its monotonic clock, of the tenants whose counts "
        "have changed. ``nodes`` is the number of subscribers that report to it now.",
        "began_us:u64 nodes:u32 owner:str totals:[TenantUsage]",
    ),
    Record(
        43,
        "TenantShare",
        "Fraction of a tenant's requests that a sidecar admits, in thousandths.",
        "permille:u16 tenant:str",
    ),
    Record(
        44,
        "TenantShares",
        "The fractions that have changed since the last such record of this connection; "
        "``whole``: all others are 1000.",
        "whole:bool shares:[TenantShare]",
    ),
    Record(
        30,
        "LedgerBegin",
        "Asks to create the started entry of a once-call. ``lease_ms`` is the longest time "
        "from this request until the first byte goes to the worker, ``run_ms`` the longest "
        "that the call may then run.",
        "attempt:u64 lease_ms:u32 run_ms:u32 digest:bytes tenant:str service:str key:str",
    ),
    Record(
        31,
        "LedgerGrant",
        "Answer to LedgerBegin. ``decision`` is a LedgerDecision; a stored answer follows it.",
        "decision:u8 status:u16 headers:pairs body:bytes",
    ),
    Record(
        32,
        "LedgerFinish",
        "Stores how a started entry ended. ``outcome`` is an Outcome.",
        "attempt:u64 outcome:u8 status:u16 tenant:str service:str key:str headers:pairs body:bytes",
    ),
    Record(33, "LedgerDone", "Answer to LedgerFinish.", "stored:bool"),
    Record(
        34,
        "LedgerUnavailable",
        "This process cannot answer. ``not_run`` is whether the request certainly changed "
        "nothing; ``leader`` is who may answer, or empty.",
        "not_run:bool leader:str",
    ),
    Record(
        35,
        "LedgerEntry",
        "One entry of the ledger. ``started``, ``running_until`` and ``expires`` are seconds "
        "since 1970; ``outcome`` counts once it is finished.",
        "attempt:u64 outcome:u8 finished:bool started:f64 running_until:f64 expires:f64 "
        "status:u16 digest:bytes tenant:str service:str key:str headers:pairs body:bytes",
    ),
    Record(
        36,
        "LedgerBatch",
        "One command of the ledger's log: many requests, applied in order. ``when`` is the "
        "leader's clock, seconds since 1970.",
        "when:f64 begins:[LedgerBegin] finishes:[LedgerFinish]",
    ),
    Record(
        37,
        "LedgerState",
        "The whole state of a ledger group; ``entries`` are packed LedgerEntry records, each "
        "after its name and length.",
        "now:f64 entries:bytes",
    ),
    Record(
        40,
        "TenantRow",
        "Compiled tenant: its share and its hashed tokens.",
        "share:u32 name:str tokens:strings",
    ),
    Record(
        41,
        "RouteRow",
        "Compiled route, flat: no inheritance is left to work out. ``caps`` is whether "
        "``criticality`` was stated, and so bounds calls made for a more critical request.",
        "criticality:u8 caps:bool repeat:u8 deadline_ms:u32 allowance:u16 name:str method:str "
        "pattern:str",
    ),
    Record(
        42,
        "ServiceRow",
        "Compiled service. ``slots`` is the worker's stated concurrency; ``depth_below`` "
        "is 0 for a service that calls nobody; ``ledgers`` are the groups its once-calls "
        "are spread over.",
        "slots:u32 queue:u32 depth_below:u8 retry_ratio_permille:u16 tenant:str name:str "
        "calls:strings callers:strings ledgers:strings routes:[RouteRow]",
    ),
    Record(
        50, "LogEntry", "One entry of a replicated log.", "term:u64 index:u64 kind:u8 data:bytes"
    ),
    Record(
        51,
        "ReplicaMember",
        "One replica of a group. ``identity`` belongs to its data folder: an emptied folder "
        "is another replica. ``promote``: a learner that is to vote once it has caught up.",
        "identity:u64 voter:bool promote:bool name:str address:str http:str",
    ),
    Record(52, "ReplicaSet", "The replicas of a group.", "members:[ReplicaMember]"),
    Record(
        53,
        "LogSnapshot",
        "State after the entry ``index``; replaces all entries up to it.",
        "term:u64 index:u64 members:[ReplicaMember] state:bytes",
    ),
    Record(
        54,
        "VoteState",
        "What a replica must never forget, beside its log.",
        "term:u64 identity:u64 voted_for:u64",
    ),
    Record(
        55,
        "ReplicaHello",
        "First record each way between replicas: whose group, and who is there.",
        "identity:u64 group:str name:str",
    ),
    Record(
        56,
        "VoteRequest",
        "Asks for a vote; ``trial`` only asks whether it would be given. ``lost`` is a former "
        "leader that has lost its disk, 0 for none: another replica answers at its address.",
        "term:u64 candidate:u64 last_index:u64 last_term:u64 trial:bool lost:u64",
    ),
    Record(57, "VoteReply", "Answer to VoteRequest.", "term:u64 granted:bool"),
    Record(
        58,
        "AppendRequest",
        "The leader's entries after ``previous_index``, and what is committed. ``leased``: a "
        "quorum has answered it lately, so that it leads for certain.",
        "term:u64 leader:u64 previous_index:u64 previous_term:u64 commit:u64 entries:[LogEntry] "
        "leased:bool",
    ),
    Record(
        59,
        "AppendReply",
        "Answer to AppendRequest. ``match`` is durable; on failure ``last`` is the newest "
        "entry held.",
        "term:u64 success:bool match:u64 last:u64",
    ),
    Record(
        70,
        "SnapshotChunk",
        "A piece of the leader's snapshot for a replica that lags behind its log.",
        "term:u64 leader:u64 index:u64 offset:u64 total:u64 data:bytes",
    ),
    Record(
        76,
        "ConfirmRequest",
        "Asks the leader whether it leads for certain now.",
        "term:u64",
    ),
    Record(
        77,
        "ConfirmReply",
        "Answer to ConfirmRequest: if ``leads``, all that was acknowledged before the request "
        "came lies at or before the entry ``commit``.",
        "term:u64 leads:bool commit:u64",
    ),
    Record(71, "SnapshotReply", "Answer to SnapshotChunk.", "term:u64 received:u64"),
    Record(
        72,
        "MemberReport",
        "One control process reports to another the nodes subscribed to it: changed members, "
        "and (node, version in force) of those that changed.",
        "whole:bool owner:str members:[Member] versions:[NodeVersion]",
    ),
    Record(
        74,
        "JoinRequest",
        "A replica with an empty data folder asks to become part of its group.",
        "identity:u64 voter:bool name:str address:str http:str",
    ),
    Record(
        75,
        "JoinReply",
        "Answer to JoinRequest. ``status`` is a JoinStatus; ``leader`` is whom to ask.",
        "status:u8 leader:str",
    ),
    Record(73, "NodeVersion", "A node and the version in force there.", "version:u64 node:str"),
    Record(
        60,
        "EditCommand",
        "A checked edit of one document. ``base`` is the document's version it started "
        "from; ``compiled_at`` is the store's revision that ``rows`` were compiled at.",
        "base:u64 compiled_at:u64 when:f64 document:str operator:str request:str text:text "
        "rows:[ConfigRow]",
    ),
    Record(61, "Document", "One document of the settings tree.", "version:u64 name:str text:text"),
    Record(
        62,
        "HistoryEntry",
        "One accepted edit.",
        "version:u64 base:u64 when:f64 document:str operator:str request:str text:text",
    ),
    Record(
        63,
        "RequestAnswer",
        "What an operator's request was first answered.",
        "version:u64 result:u8 operator:str request:str",
    ),
    Record(
        64,
        "StoreState",
        "The whole state of the configuration store. Subscribers below ``whole_below`` need "
        "everything: what they have may come from a history that a back-up has replaced.",
        "revision:u64 whole_below:u64 documents:[Document] rows:[ConfigRow] history:[HistoryEntry] "
        "requests:[RequestAnswer]",
    ),
    Record(
        65,
        "RouteTableCommand",
        "A checked whole route table that an operator puts in force. ``version`` is the "
        "operator's, ``base`` the one it replaces, ``digest`` identifies equal requests; the "
        "``document`` is compressed.",
        "version:u64 base:u64 digest:bytes document:bytes",
    ),
    Record(
        66,
        "TakenTable",
        "The digest of a route table that was taken.",
        "version:u64 digest:bytes",
    ),
    Record(
        67,
        "RouteTableState",
        "The whole state of a route table store; the document is compressed.",
        "revision:u64 version:u64 document:bytes taken:[TakenTable]",
    ),
    Record(
        80,
        "ForwardRequest",
        "One sidecar asks another to have its worker run a request. Times in milliseconds are "
        "durations from now on, by the sender's clock: ``deadline_ms`` until the caller gives "
        "up, ``start_within_ms`` until the request is not worth starting any more. "
        "``expected_latency_us`` is the usual run time of this route over all workers, in "
        "microseconds, as the sender knows it; 0: unknown. ``root_priority``, ``root_age_ms``, "
        "``root_objective_ms`` and ``root_deadline_ms`` describe the root request of the call "
        "tree: the last two are the time left of its objective and of its deadline. "
        "``is_retry``: this run, or one above it in the tree, is a second one. "
        "``suspected``: the worker that ran it before crashed, and the request may be the cause. "
        "``isolated``: every sender sends this suspect here, to run in isolation. "
        "``tenant`` owns the request; empty where requests need no key. ``lines`` holds the "
        "request line and the headers, ``body`` what of the body has been read, and ``whole`` "
        "says that this is all of it.",
        "deadline_ms:u32 start_within_ms:u32 expected_latency_us:u32 priority:u8 root_priority:u8 "
        "root_age_ms:u32 root_objective_ms:u32 root_deadline_ms:u32 is_retry:bool "
        "idempotent:bool bodiless:bool framing:u8 whole:bool suspected:bool isolated:bool "
        "length:u64 service:str route:str tenant:str caller:str request_id:str "
        "lines:bytes body:bytes",
    ),
    Record(
        81, "ForwardBody", "The next piece of a body; none after the last.", "last:bool data:bytes"
    ),
    Record(
        82, "ForwardContinue", "The request is admitted: send the rest of its body.", "unused:u8"
    ),
    Record(
        83,
        "ForwardAnswer",
        "First record of the answer. ``arrived``: the request reached the worker. ``running``, "
        "``queued`` and ``slots`` are the sidecar's own counts. ``waited_ms`` and "
        "``run_time_ms`` are the times before and at the worker. ``faults`` is the ratio of the "
        "worker's runs that failed by its own fault, in percent; ``slowness`` its run times as a "
        "multiple of the expected latency, in tenths. ``downstream_starved``: a call made by the "
        "run, or below it, found no capacity. ``failed_service`` and ``failed_reason`` describe "
        "the deepest call that failed, ``downstream_cost`` the slot time of the run's calls. "
        "``body`` is the first piece, and all of it if ``whole``.",
        "outcome:u8 reason:u8 arrived:bool whole:bool framing:u8 status:u16 retry_after_ms:u32 "
        "running:u32 queued:u32 slots:u32 faults:u8 slowness:u8 waited_ms:u32 run_time_ms:u32 "
        "downstream_starved:bool failed_reason:u8 length:u64 failed_service:str "
        "downstream_cost:[ServiceWork] lines:bytes body:bytes",
    ),
    Record(
        85,
        "ServiceWork",
        "Time that slots of a service were occupied for the sake of one request.",
        "milliseconds:u32 service:str",
    ),
    Record(
        90,
        "QuarantineEntry",
        "A request that is suspected of ending the workers that run it. ``held_ms`` is how much "
        "longer it is refused, 0 for one that is only suspected; ``ends`` names the crashes of "
        "workers that are evidence against it, 8 bytes each; ``cleared``: a worker has answered "
        "it, or an operator has lifted it.",
        "held_ms:u32 cleared:bool service:str ends:bytes identity:bytes",
    ),
    Record(
        91,
        "QuarantineNews",
        "What a sidecar knows of such requests. ``digest`` is that of all it quarantines; ``asks`` "
        "wants the receiver's own entries where its digest differs; ``settled``: the "
        "sender has learnt from others itself, since its start. The receiver passes it on "
        "to the nodes whose names come after its own, up to ``relay_to``; those of ``service``, "
        "or all where it is empty.",
        "digest:u64 asks:bool settled:bool service:str relay_to:str entries:[QuarantineEntry]",
    ),
    Record(84, "ForwardCut", "The answer ends here, before its last byte.", "reason:u8"),
)
