"""Schema of the records sent between processes or stored.

:mod:`cranklane.records.generate` generates ``messages.py`` from it. An encoded record is
a ``struct`` of its numbers and of the sizes of its variable fields, followed by the bytes
of the variable fields in order.

Field types: ``u8 u16 u32 u64 f64 bool`` are numbers, ``str`` (up to 64 KiB), ``text`` and
``bytes`` are variable, ``strings`` is a list of strings, ``pairs`` is a list of pairs of
strings, and ``[Name]`` is a list of another record.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Record:
    """Definition of a record.

    :ivar kind: number on the wire.
    :ivar purpose: doc text of the generated class.
    :ivar fields: ``name:type`` of each field, separated by spaces.
    """

    kind: int
    name: str
    purpose: str
    fields: str


RECORDS = (
    Record(
        1,
        "Hello",
        "First record in each direction on a connection; identifies the sender.",
        "protocol:u16 incarnation:u64 version:u64 node:str tenant:str service:str zone:str",
    ),
    Record(
        2,
        "Ping",
        "Liveness probe of a connection; a node replies with a LoadReport.",
        "version:u64",
    ),
    Record(
        3,
        "LoadReport",
        "Load of a node's worker; ``wait_us`` is the expected queue wait in microseconds.",
        "in_flight:u32 queued:u32 limit:u32 wait_us:u32 draining:bool version:u64",
    ),
    Record(4, "GoingAway", "The sender accepts no new calls on this connection.", "reason:u8"),
    Record(
        10,
        "CallOpen",
        "Opens a call. ``deadline_ms`` is the time until the root request's deadline; "
        "``allowance`` is the number of retries that this call may spend.",
        "deadline_ms:u32 allowance:u16 criticality:u8 depth:u8 attempt:u8 root:u64 window:u32 "
        "tenant:str caller:str service:str method:str path:str key:str "
        "headers:pairs body:bytes",
    ),
    Record(11, "CallCancel", "Cancels a call whose caller no longer waits.", "reason:u8"),
    Record(
        12,
        "AnswerHead",
        "First record of a response. ``refused_below`` is one more than the highest "
        "criticality recently refused for the call's tenant, 0 for none.",
        "outcome:u8 reason:u8 status:u16 retry_after_ms:u32 allowance:u16 in_flight:u32 "
        "limit:u32 wait_us:u32 refused_below:u8 draining:bool final:bool headers:pairs",
    ),
    Record(13, "AnswerBody", "A piece of a response body.", "sequence:u32 data:bytes"),
    Record(
        14,
        "AnswerEnd",
        "Ends a complete response: size and CRC-32 of its body, and the unspent allowance.",
        "length:u64 checksum:u32 allowance:u16",
    ),
    Record(15, "AnswerAbort", "Ends a truncated response.", "reason:u8 allowance:u16"),
    Record(16, "Credit", "Flow control: permits ``size`` further bytes of the body.", "size:u32"),
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
    Record(
        51,
        "ReplicaMember",
        "A replica of a group. ``identity`` belongs to its data folder: with an emptied folder, it "
        "becomes a new replica. ``promote``: a learner that becomes a voter after catching up.",
        "identity:u64 voter:bool promote:bool name:str address:str http:str",
    ),
    Record(52, "ReplicaSet", "The replicas of a group.", "members:[ReplicaMember]"),
    Record(
        53,
        "LogSnapshot",
        "Snapshot of the state after the entry ``index``; replaces all entries up to it.",
        "term:u64 index:u64 members:[ReplicaMember] state:bytes",
    ),
    Record(
        54,
        "VoteState",
        "Durable state of a replica besides its log: term, identity and vote.",
        "term:u64 identity:u64 voted_for:u64",
    ),
    Record(
        55,
        "ReplicaHello",
        "First record in each direction between replicas; identifies the group and the sender.",
        "identity:u64 group:str name:str",
    ),
    Record(
        56,
        "VoteRequest",
        "Requests a vote; ``trial``: a pre-vote. ``lost`` is a former leader whose disk was lost, "
        "0 for none: another replica now uses its address.",
        "term:u64 candidate:u64 last_index:u64 last_term:u64 trial:bool lost:u64",
    ),
    Record(57, "VoteReply", "Response to VoteRequest.", "term:u64 granted:bool"),
    Record(
        58,
        "AppendRequest",
        "Log entries after ``previous_index`` and the commit index of the leader. ``leased``: a "
        "quorum has recently confirmed the leader.",
        "term:u64 leader:u64 previous_index:u64 previous_term:u64 commit:u64 entries:[LogEntry] "
        "leased:bool",
    ),
    Record(
        59,
        "AppendReply",
        "Response to AppendRequest. ``match`` is the last durable entry that matches the leader's "
        "log; after a failure, ``last`` is the newest entry of the replica's log.",
        "term:u64 success:bool match:u64 last:u64",
    ),
    Record(
        70,
        "SnapshotChunk",
        "Piece of a snapshot, sent to a replica that needs entries no longer in the log.",
        "term:u64 leader:u64 index:u64 offset:u64 total:u64 data:bytes",
    ),
    Record(
        76,
        "ConfirmRequest",
        "Asks a leader to confirm its leadership.",
        "term:u64",
    ),
    Record(
        77,
        "ConfirmReply",
        "Response to ConfirmRequest. If ``leads``, the log up to the entry ``commit`` contains "
        "everything that was acknowledged before the request.",
        "term:u64 leads:bool commit:u64",
    ),
    Record(71, "SnapshotReply", "Response to SnapshotChunk.", "term:u64 received:u64"),
    Record(
        72,
        "MemberReport",
        "Changes of the nodes subscribed to one control process, sent to another: changed members "
        "and the versions in force that changed.",
        "whole:bool owner:str members:[Member] versions:[NodeVersion]",
    ),
    Record(
        74,
        "JoinRequest",
        "Request of a replica to join its group, also after its removal.",
        "identity:u64 voter:bool name:str address:str http:str",
    ),
    Record(
        75,
        "JoinReply",
        "Response to JoinRequest. ``status`` is a JoinStatus; ``leader`` is the replica to ask.",
        "status:u8 leader:str",
    ),
    Record(73, "NodeVersion", "A node and its version in force.", "version:u64 node:str"),
    Record(
        60,
        "EditCommand",
        "A validated edit of a document. ``base`` is the version of the document that was edited; "
        "``compiled_at`` is the revision of the store at which ``rows`` were compiled.",
        "base:u64 compiled_at:u64 when:f64 document:str operator:str request:str text:text "
        "rows:[ConfigRow]",
    ),
    Record(61, "Document", "A policy document.", "version:u64 name:str text:text"),
    Record(
        62,
        "HistoryEntry",
        "An accepted edit of a document.",
        "version:u64 base:u64 when:f64 document:str operator:str request:str text:text",
    ),
    Record(
        63,
        "RequestAnswer",
        "Result of an operator's request, returned again if the request is repeated.",
        "version:u64 result:u8 operator:str request:str",
    ),
    Record(
        64,
        "StoreState",
        "Complete state of the configuration store. Subscribers with a version below "
        "``whole_below`` need all rows: a restored backup may have replaced their history.",
        "revision:u64 whole_below:u64 documents:[Document] rows:[ConfigRow] history:[HistoryEntry] "
        "requests:[RequestAnswer]",
    ),
    Record(
        65,
        "RouteTableCommand",
        "Puts a validated, complete route table in force. ``version`` is set by the operator, "
        "``base`` is the version that it replaces, ``digest`` identifies repeated requests; "
        "``document`` is compressed.",
        "version:u64 base:u64 digest:bytes document:bytes",
    ),
    Record(
        66,
        "TakenTable",
        "Version and digest of an accepted route table.",
        "version:u64 digest:bytes",
    ),
    Record(
        67,
        "RouteTableState",
        "Complete state of a route table store; ``document`` is compressed.",
        "revision:u64 version:u64 document:bytes taken:[TakenTable]",
    ),
    Record(
        45,
        "Departure",
        "The departure of a worker: ``instance`` identifies the start of the worker beside "
        "``node`` that takes no new requests.",
        "node:str instance:str",
    ),
    Record(
        46,
        "DepartureReport",
        "Departures of a sidecar's worker that control is asked to store.",
        "instances:strings",
    ),
    Record(
        47,
        "Departures",
        "Stored departures of the receiving sidecar's worker. First record of a subscription, "
        "response to a DepartureReport, and sent after each change.",
        "instances:strings",
    ),
    Record(
        48,
        "DepartureCommand",
        "Stores departures: a command of the controllers' log, and the request for it to the "
        "leader.",
        "departures:[Departure]",
    ),
    Record(49, "DepartureReply", "Response to a DepartureCommand.", "stored:bool"),
    Record(
        68,
        "ControllerState",
        "Complete state of a controller; ``table`` is a RouteTableState.",
        "table:bytes departures:[Departure]",
    ),
    Record(
        80,
        "ForwardRequest",
        "Forwards a request to another sidecar, whose worker is to run it. Times in milliseconds "
        "count from the time of sending: ``deadline_ms`` until the caller gives up, "
        "``start_within_ms`` until the latest useful start. ``expected_latency_us`` is the "
        "sender's estimate of the route's run time over all workers; 0: unknown. "
        "``root_priority``, ``root_age_ms``, ``root_objective_ms`` and ``root_deadline_ms`` "
        "describe the root request of the call tree; the last two are the time left until its "
        "objective and its deadline. ``is_retry``: this run, or one above it in the tree, is a "
        "retry. ``suspected``: the worker that ran the request before crashed, possibly because "
        "of it. ``isolated``: all senders route this suspected request here, to run in isolation. "
        "``hand_back``: refuse the request if the worker is in a slow period, which the sender "
        "does not know of. "
        "``tenant`` owns the request; empty if requests need no key. ``lines`` holds the request "
        "line and the headers, ``body`` the part of the body read so far; ``whole``: that is all "
        "of it. ``tree`` describes the call tree (``sidecar/request/tree_ticket.py``). "
        "``notice``: what this worker last stated to the sender; empty if nothing.",
        "deadline_ms:u32 start_within_ms:u32 expected_latency_us:u32 priority:u8 root_priority:u8 "
        "root_age_ms:u32 root_objective_ms:u32 root_deadline_ms:u32 is_retry:bool "
        "idempotent:bool bodiless:bool framing:u8 whole:bool suspected:bool isolated:bool "
        "hand_back:bool length:u64 service:str route:str tenant:str caller:str request_id:str "
        "lines:bytes body:bytes tree:bytes notice:[WorkerNotice]",
    ),
    Record(
        81,
        "ForwardBody",
        "A piece of a body; ``last``: the record after the final piece, without data.",
        "last:bool data:bytes",
    ),
    Record(
        82, "ForwardContinue", "Admits a request and asks for the rest of its body.", "unused:u8"
    ),
    Record(
        83,
        "ForwardAnswer",
        "First record of the response to a ForwardRequest. ``arrived``: the request reached the "
        "worker. ``running``, ``queued`` and ``slots`` are the counts of the responding sidecar. "
        "``waited_ms`` is the time before the run, ``run_time_ms`` the time at the worker. "
        "``faults`` is the percentage of runs that failed by the worker's fault; ``slowness`` is "
        "the run time in tenths of the expected latency. ``downstream_starved``: a call made by "
        "the run, or further downstream, found no capacity. ``failed_service`` and "
        "``failed_reason`` describe the deepest failed call, ``downstream_cost`` the slot time "
        "of downstream calls. ``body`` is the first piece of the body; ``whole``: all of it. "
        "``advertised``: capacity of the worker (``sidecar/capacity/advertisement.py``). "
        "``notice``: what the worker states of itself; empty if nothing.",
        "outcome:u8 reason:u8 arrived:bool whole:bool framing:u8 status:u16 retry_after_ms:u32 "
        "running:u32 queued:u32 slots:u32 faults:u8 slowness:u8 waited_ms:u32 run_time_ms:u32 "
        "downstream_starved:bool failed_reason:u8 length:u64 failed_service:str "
        "downstream_cost:[ServiceWork] lines:bytes body:bytes advertised:bytes "
        "notice:[WorkerNotice]",
    ),
    Record(
        86,
        "WorkerNotice",
        "What a worker states of itself in its answers. ``instance`` identifies its start. "
        "``limited``: it accepts ``rate_limit`` requests per second from all callers together. "
        "``leaving``: it is about to exit. "
        "``pause_ms``, in replies, is the time until the receiver's turn to send it a request.",
        "leaving:bool limited:bool rate_limit:f64 pause_ms:u32 instance:str",
    ),
    Record(
        85,
        "ServiceWork",
        "Slot time of a service used by one request.",
        "milliseconds:u32 service:str",
    ),
    Record(
        90,
        "QuarantineEntry",
        "A request suspected of crashing workers. ``held_ms`` is the remaining quarantine, 0 for "
        "a request that is only suspected; ``ends`` identifies the worker crashes attributed to "
        "it, 8 bytes each; ``cleared``: a worker has completed it, or an operator has lifted "
        "its quarantine.",
        "held_ms:u32 cleared:bool service:str ends:bytes identity:bytes",
    ),
    Record(
        91,
        "QuarantineNews",
        "Quarantine entries sent between sidecars. ``digest`` is that of all requests quarantined "
        "by the sender; ``asks`` requests the receiver's entries if its digest differs; "
        "``settled``: the sender has synchronized with others since its start. The "
        "receiver relays the record to the nodes of ``service`` (all if empty) whose names sort "
        "after its node name, up to ``relay_to``.",
        "digest:u64 asks:bool settled:bool service:str relay_to:str entries:[QuarantineEntry]",
    ),
    Record(84, "ForwardCut", "Ends a truncated response.", "reason:u8"),
)
