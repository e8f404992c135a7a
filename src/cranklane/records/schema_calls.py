"""Records of connections and of calls between nodes."""

from __future__ import annotations

from cranklane.records.definition import Record

CALLS_RECORDS = (
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
)
