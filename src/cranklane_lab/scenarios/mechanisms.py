"""Mechanisms of the product that a run can do without.

Each replaces one method of the product by one that lacks the mechanism. The
product itself has no such switches.
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
    """One attribute of a class, replaced."""

    owner: Any
    name: str
    value: Any


@dataclass(frozen=True)
class Mechanism:
    """Something the product does for a promise."""

    name: str
    purpose: str
    replacements: Callable[[], list[Replacement]]

    @contextmanager
    def switched_off(self) -> Iterator[None]:
        """Run without it."""
        replacements = self.replacements()
        kept = [vars(item.owner).get(item.name, _MISSING) for item in replacements]
        for item in replacements:
            setattr(item.owner, item.name, item.value)
        try:
            yield
        finally:
            for item, value in zip(replacements, kept, strict=True):
                if value is _MISSING:
                    delattr(item.owner, item.name)
                else:
                    setattr(item.owner, item.name, value)


def _per_hop_allowance() -> list[Replacement]:
    def grant(_self: Allowance) -> int:
        return PER_HOP_RETRIES

    def give_back(_self: Allowance, _unused: int) -> None:
        return

    return [
        Replacement(Allowance, "grant", grant),
        Replacement(Allowance, "give_back", give_back),
        Replacement(RetryBudget, "spend", lambda _self: True),
    ]


def _first_come() -> list[Replacement]:
    original_add = FairQueue.add

    def add(self: FairQueue, call: Any) -> None:
        original_add(self, call)

    def take(self: FairQueue, _in_flight: Any, _newest_first: bool) -> Any:
        for call in sorted(self, key=lambda item: item.queued_at):
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


def _trusting_body() -> list[Replacement]:
    def body(self: PeerCall, _stall_timeout: float) -> Iterator[bytes]:
        while True:
            item = self._inbox.get()
            if isinstance(item, AnswerEnd):
                self._finish(item.allowance)
                return
            if isinstance(item, AnswerAbort | Exception):
                self._finish(0)
                return
            yield item.data
            self._connection.send_quietly(Credit(len(item.data)), self.number)

    return [Replacement(PeerCall, "body", body)]


def _reused_numbers() -> list[Replacement]:
    original = PeerConnection.open

    def open_call(self: PeerConnection, message: Any) -> PeerCall:
        number = CONNECTION_CALL
        while number + 1 in self._calls:
            number += 1
        self._next_number = number
        return original(self, message)

    return [Replacement(PeerConnection, "open", open_call)]


def _forgetful_conclusion() -> list[Replacement]:
    def conclude(answer: Any, _progress: Any) -> Any:
        return answer

    return [Replacement(Outbound, "_conclude", staticmethod(conclude))]


def _deaf_to_drain() -> list[Replacement]:
    return [
        Replacement(
            Admission,
            "draining",
            property(lambda _self: False, lambda _self, _value: None),
        )
    ]


def _abrupt_stop() -> list[Replacement]:
    return [Replacement(NodeProcess, "_wait_until_idle", lambda _self: True)]


def _any_order() -> list[Replacement]:
    original = AdoptedPolicy.adopt

    def adopt(self: AdoptedPolicy, delta: Any) -> bool:
        self.version = 0 if delta.whole else delta.base
        return original(self, delta)

    def take(self: Subscription, records: Any, delta: Any) -> None:
        assert self._file is not None
        self._file.save(delta)
        self._configuration.adopt(delta)
        self._follower.on_change()
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


def _subscribers_kept() -> list[Replacement]:
    return [
        Replacement(Publisher, "end_subscriptions", lambda _self, *_limits: 0),
        Replacement(Subscription, "on_newer_version", lambda _self: None),
    ]


def _requests_forgotten() -> list[Replacement]:
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
    Mechanism("allowance", "one allowance of retries for the whole tree", _per_hop_allowance),
    Mechanism("priority", "criticality and shares in the queue", _first_come),
    Mechanism("answer-end", "an answer is whole only with its end record", _trusting_body),
    Mechanism("call-numbers", "a call's number is never used again", _reused_numbers),
    Mechanism(
        "unknown-memory", "an attempt that may have run is remembered", _forgetful_conclusion
    ),
    Mechanism("drain", "the node refuses new work from the drain signal on", _deaf_to_drain),
    Mechanism("planned-stop", "a stop waits for what is in flight", _abrupt_stop),
    Mechanism("version-order", "a node adopts only what follows", _any_order),
    Mechanism("leader-lease", "a leader answers only while it has a lease", _leader_without_lease),
    Mechanism(
        "send-away", "a control process out of touch sends its nodes away", _subscribers_kept
    ),
    Mechanism("request-memory", "a resend gets the first answer", _requests_forgotten),
    Mechanism("replica-identity", "an empty disk is another replica", _identity_by_name),
    Mechanism("ledger", "only the attempt that created an entry runs", _every_attempt_runs),
    Mechanism("log-sync", "an entry counts only once it is synced", _unsynced_log),
)

MECHANISMS = {mechanism.name: mechanism for mechanism in _ALL}
