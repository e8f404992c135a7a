"""Mechanisms of the product that a run can switch off.

Each is switched off by replacing methods of the product at run time; the product has
no such switches.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from cranklane.control.store import ConfigurationStore
from cranklane.distribution.publisher import Publisher
from cranklane.distribution.subscriber import Subscriber
from cranklane.distribution.subscription import Subscription
from cranklane.ledger.store import LedgerDecision, LedgerStore
from cranklane.node.admission import Admission
from cranklane.node.allowance import Allowance
from cranklane.node.fair_queue import FairQueue
from cranklane.node.outbound import Outbound
from cranklane.node.peer_call import PeerCall
from cranklane.node.peer_connection import PeerConnection
from cranklane.node.process import NodeProcess
from cranklane.node.retry_budget import RetryBudget
from cranklane.outcome import Criticality
from cranklane.policy.adopted_policy import AdoptedPolicy
from cranklane.records.connection import CONNECTION_CALL
from cranklane.records.messages import AnswerAbort, AnswerEnd, Credit, LedgerGrant
from cranklane.replication.leadership import Leadership
from cranklane.replication.log import Log
from cranklane.replication.replica import Replica

PER_HOP_RETRIES = 3
_MISSING = object()


@dataclass(frozen=True)
class Replacement:
    """The replacement of one attribute of a class."""

    owner: Any
    name: str
    value: Any


@dataclass(frozen=True)
class Mechanism:
    """A part of the product that a promise depends on.

    :ivar replacements: returns the replacements that switch it off.
    """

    name: str
    purpose: str
    replacements: Callable[[], list[Replacement]]

    @contextmanager
    def switched_off(self) -> Iterator[None]:
        """Switch it off for the duration of the context."""
        replacements = self.replacements()
        originals = [vars(change.owner).get(change.name, _MISSING) for change in replacements]
        for change in replacements:
            setattr(change.owner, change.name, change.value)
        try:
            yield
        finally:
            for change, original in zip(replacements, originals, strict=True):
                if original is _MISSING:
                    delattr(change.owner, change.name)
                else:
                    setattr(change.owner, change.name, original)


def _per_hop_allowance() -> list[Replacement]:
    def grant(_self: Allowance) -> int:
        return PER_HOP_RETRIES

    def give_back(_self: Allowance, _unused: int) -> None:
        return

    return [
        Replacement(Allowance, "grant", grant),
        Replacement(Allowance, "give_back", give_back),
        Replacement(RetryBudget, "spend", lambda _self, _until: True),
    ]


def _fifo_queue() -> list[Replacement]:
    original_add = FairQueue.add

    def add(self: FairQueue, call: Any) -> None:
        original_add(self, call)

    def take(self: FairQueue, _in_flight: Any, _newest_first: bool) -> Any:
        for call in sorted(self, key=lambda queued: queued.queued_at):
            self.remove(call)
            return call
        return None

    def victim(_self: FairQueue, _newcomer: Any, _in_flight: Any) -> None:
        return None

    def count_ahead(self: FairQueue, _tenant: str, _criticality: Criticality) -> int:
        return self.size

    return [
        Replacement(FairQueue, "add", add),
        Replacement(FairQueue, "take", take),
        Replacement(FairQueue, "victim", victim),
        Replacement(FairQueue, "count_ahead", count_ahead),
    ]


def _body_without_end_check() -> list[Replacement]:
    def body(self: PeerCall, _stall_timeout: float) -> Iterator[bytes]:
        while True:
            record = self._inbox.get()
            if isinstance(record, AnswerEnd):
                self._finish(record.allowance)
                return
            if isinstance(record, AnswerAbort | Exception):
                self._finish(0)
                return
            yield record.data
            self._connection.send_quietly(Credit(len(record.data)), self.number)

    return [Replacement(PeerCall, "body", body)]


def _reused_call_numbers() -> list[Replacement]:
    original = PeerConnection.open

    def open_call(self: PeerConnection, message: Any) -> PeerCall:
        number = CONNECTION_CALL
        while number + 1 in self._calls:
            number += 1
        self._next_number = number
        return original(self, message)

    return [Replacement(PeerConnection, "open", open_call)]


def _conclusion_without_progress() -> list[Replacement]:
    def conclude(answer: Any, _progress: Any) -> Any:
        return answer

    return [Replacement(Outbound, "_conclude", staticmethod(conclude))]


def _ignored_drain() -> list[Replacement]:
    return [
        Replacement(
            Admission,
            "draining",
            property(lambda _self: False, lambda _self, _value: None),
        )
    ]


def _stop_without_waiting() -> list[Replacement]:
    return [Replacement(NodeProcess, "_wait_until_idle", lambda _self: True)]


def _unordered_versions() -> list[Replacement]:
    original = AdoptedPolicy.adopt

    def adopt(self: AdoptedPolicy, delta: Any) -> bool:
        self.version = 0 if delta.whole else delta.base
        return original(self, delta)

    def take(self: Subscription, records: Any, delta: Any) -> None:
        assert self._file is not None
        self._file.save(delta)
        self._configuration.adopt(delta)
        self._callbacks.on_change()
        records.send(self._heartbeat())

    original_init = Subscriber.__init__

    def init(self: Subscriber, *arguments: Any) -> None:
        original_init(self, *arguments)
        self.sent_version = 0

    return [
        Replacement(AdoptedPolicy, "adopt", adopt),
        Replacement(Subscription, "_adopt", take),
        Replacement(Subscriber, "__init__", init),
    ]


def _leader_without_lease() -> list[Replacement]:
    return [Replacement(Leadership, "has_lease", lambda _self: True)]


def _kept_subscriptions() -> list[Replacement]:
    return [
        Replacement(Publisher, "end_subscriptions", lambda _self, *_limits: 0),
        Replacement(Subscription, "on_newer_version", lambda _self: None),
    ]


def _no_request_memory() -> list[Replacement]:
    return [Replacement(ConfigurationStore, "earlier_answer", lambda _self, *_request: None)]


def _identity_by_name() -> list[Replacement]:
    def identity(self: Replica) -> int:
        return zlib.crc32(self.info.name.encode()) | 1

    return [Replacement(Replica, "identity", property(identity))]


def _every_attempt_runs() -> list[Replacement]:
    def begin(_self: LedgerStore, _request: Any) -> LedgerGrant:
        return LedgerGrant(LedgerDecision.RUN)

    return [Replacement(LedgerStore, "_begin", begin)]


def _unsynced_log() -> list[Replacement]:
    return [Replacement(Log, "sync", lambda self: self.last_index)]


_ALL = (
    Mechanism("allowance", "retries of a call tree share one allowance", _per_hop_allowance),
    Mechanism("priority", "the queue is ordered by criticality and tenant shares", _fifo_queue),
    Mechanism(
        "answer-end", "a response is complete only with its end record", _body_without_end_check
    ),
    Mechanism("call-numbers", "call numbers are not reused", _reused_call_numbers),
    Mechanism(
        "unknown-memory",
        "an attempt that may have run makes the outcome unknown",
        _conclusion_without_progress,
    ),
    Mechanism("drain", "a draining node refuses new work", _ignored_drain),
    Mechanism("planned-stop", "a planned stop waits for calls in flight", _stop_without_waiting),
    Mechanism("version-order", "a node adopts only newer versions", _unordered_versions),
    Mechanism("leader-lease", "a leader serves only while it holds a lease", _leader_without_lease),
    Mechanism(
        "send-away",
        "a control process without group contact ends its subscriptions",
        _kept_subscriptions,
    ),
    Mechanism("request-memory", "a retry gets the first response", _no_request_memory),
    Mechanism(
        "replica-identity", "a replica with an empty disk gets a new identity", _identity_by_name
    ),
    Mechanism("ledger", "only the attempt that created an entry runs", _every_attempt_runs),
    Mechanism("log-sync", "a log entry counts only after its sync", _unsynced_log),
)

MECHANISMS = {mechanism.name: mechanism for mechanism in _ALL}
