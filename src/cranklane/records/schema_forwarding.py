"""Records between sidecars."""

from __future__ import annotations

from cranklane.records.definition import Record

FORWARDING_RECORDS = (
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
