"""Records between the replicas of a group, and those that they store."""

from __future__ import annotations

from cranklane.records.definition import Record

REPLICATION_RECORDS = (
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
)
