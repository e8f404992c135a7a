"""Disables one mechanism at a time and checks that the test that covers it fails."""

from __future__ import annotations

from dataclasses import replace

import pytest

import test_call_tree
import test_controllers
import test_early_answers
import test_mesh
import test_mesh_overload
import test_mesh_workers
import test_publisher_frames
import test_retry_budget
import test_route_rows
import test_subsets
import test_worker_condition
from cranklane.controller.route_store import RouteTableStore
from cranklane.controller.row_changes import RowChanges
from cranklane.distribution.shared_frames import SharedFrameCache
from cranklane.outcome import Outcome
from cranklane.replication import voting
from cranklane.replication.election import Election
from cranklane.replication.log import Log
from cranklane.replication.membership_change import MembershipChange
from cranklane.routes.splitter import Splitter
from cranklane.sidecar.admission.outcome_limiter import OutcomeLimiter
from cranklane.sidecar.ingress.disconnect import DisconnectWatch
from cranklane.sidecar.process import Sidecar
from cranklane.sidecar.request.body_transfer import BodyTransfer
from cranklane.sidecar.request.call_tree import CallTree
from cranklane.sidecar.routing import cost, worker_choice
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.dispatcher import Dispatcher
from cranklane.sidecar.routing.forwarded_body import ForwardedBody
from cranklane.sidecar.routing.retry_budget import RetryBudget
from cranklane.sidecar.routing.worker_choice import WorkerChoice
from cranklane.sidecar.worker.condition import Condition, WorkerCondition
from cranklane.sidecar.worker.exchange import WorkerExchange
from cranklane.sidecar.worker.fault_ratio import FaultRatio
from cranklane.sidecar.worker.probe import WorkerProbe
from cranklane.sidecar.worker.registry import WorkerRegistry


def accept_first_answer(self, request, connection):
    return connection.reader.next_head(request.bodiless)


def retry_after_unknown(self, progress, reply):
    return reply.outcome is Outcome.UNKNOWN and progress.attempts < 2


def retry_within_a_retried_run(self, progress, reply):
    root = replace(progress.call.root, is_retry=False)
    progress.call = progress.call._replace(root=root)
    return Dispatcher_should_retry(self, progress, reply)


Dispatcher_should_retry = Dispatcher._should_retry


def ignore_draining(self, instance, state):
    pass


def choose_first_share(self, route):
    return route.shares[0].service


def accept_any_leader(self):
    self._leased_heartbeat_at = self._state.runtime.monotonic()
    Election_restart_timer(self)


Election_restart_timer = Election.restart_timer

MECHANISMS = {
    "matching of answers by request id": (
        WorkerExchange,
        "_matching_answer",
        accept_first_answer,
        test_mesh.test_surplus_and_late_answers_never_reach_another_caller,
    ),
    "no retry after an unknown outcome": (
        Dispatcher,
        "_should_retry",
        retry_after_unknown,
        lambda: (
            test_mesh.test_an_unsafe_request_gets_502_and_no_retry_after_a_lost_or_invalid_answer(
                "lose_answers"
            )
        ),
    ),
    "no requests to draining workers": (
        WorkerRegistry,
        "_begin_planned_exit",
        ignore_draining,
        test_mesh_workers.test_a_draining_worker_gets_no_requests_after_the_acknowledgement,
    ),
    "retry budget": (
        RetryBudget,
        "take",
        lambda self, service: True,
        test_mesh_overload.test_retries_after_refusals_stay_within_the_budget,
    ),
    "cancellation on caller disconnect": (
        DisconnectWatch,
        "add",
        lambda self, connection, action: None,
        test_mesh.test_a_caller_disconnect_cancels_the_run_within_half_a_second,
    ),
    "outcome limiter": (
        OutcomeLimiter,
        "admits",
        lambda self, route, priority, caller: (
            OutcomeLimiter_admits(self, route, priority, caller) or True
        ),
        test_mesh_overload.test_failing_requests_of_the_lowest_priority_are_refused_early,
    ),
    "wait for requests in flight at shutdown": (
        Sidecar,
        "_is_busy",
        lambda self: False,
        test_mesh.test_a_drain_completes_requests_in_flight_and_ends_readiness_at_once,
    ),
    "split of a route by weight": (
        Splitter,
        "choose",
        choose_first_share,
        test_mesh.test_a_split_route_distributes_requests_by_weight,
    ),
    "detection of repeated tables": (
        RouteTableStore,
        "was_accepted",
        lambda self, digest: False,
        test_controllers.test_a_repeated_table_is_accepted_again_and_a_stale_base_is_refused,
    ),
    "lease check on leader heartbeats": (
        Election,
        "restart_timer",
        accept_any_leader,
        lambda: (
            test_controllers.test_sidecars_leave_a_cut_off_leader_and_its_follower_and_keep_their_members(
                1
            )
        ),
    ),
    "removal of silent voters": (
        MembershipChange,
        "_remove_silent",
        lambda self, least, seconds: False,
        test_controllers.test_machines_gone_for_good_are_replaced_within_seconds,
    ),
    "correlation of calls with their root": (
        CallTree,
        "run_of",
        lambda self, request: None,
        test_call_tree.test_the_call_of_the_root_with_higher_priority_runs_first,
    ),
    "deltas of changed rows": (
        RowChanges,
        "since",
        lambda self, revision: None,
        test_route_rows.test_a_change_of_one_route_costs_a_node_a_few_hundred_bytes,
    ),
    "confirmation of a destination by its answers": (
        Destination,
        "is_expired",
        lambda self, now: self.confirmed_at is not None,
        test_mesh_workers.test_a_machine_that_only_control_cannot_reach_stays_in_use,
    ),
    "detection of a leader that lost its disk": (
        Election,
        "_has_lost_its_disk",
        lambda self, identity: False,
        lambda: (
            test_controllers.test_after_all_were_killed_and_the_leader_lost_its_disk_another_leads_at_once(
                1
            )
        ),
    ),
    "reports of worker conditions": (
        WorkerCondition,
        "renew",
        lambda self: False,
        test_worker_condition.test_every_sidecar_knows_of_a_failing_worker_within_two_seconds,
    ),
    "decay of reported conditions": (
        Condition,
        "decayed",
        lambda self, age: self,
        test_worker_condition.test_a_condition_from_control_decays_and_is_not_applied_twice,
    ),
    "expiry of retry tokens": (
        RetryBudget,
        "_expire",
        lambda self, account, now: None,
        test_retry_budget.test_unspent_tokens_expire,
    ),
    "stable subsets": (
        WorkerChoice,
        "_subset_of",
        lambda self, service: self._random.sample(self._destinations.members(service), 16),
        test_subsets.test_a_lightly_loaded_caller_uses_only_its_subset,
    ),
    "widening of subsets": (
        worker_choice,
        "is_lightly_loaded_and_healthy",
        lambda destination, now: True,
        lambda: test_subsets.test_a_loaded_or_failing_subset_is_widened("loaded"),
    ),
    "frame cache shared by subscribers": (
        SharedFrameCache,
        "get",
        lambda self, span, make: make(),
        test_publisher_frames.test_frames_of_an_older_position_are_encoded_again,
    ),
    "condition factor in the routing cost": (
        cost,
        "condition_factor",
        lambda destination, now: 1.0,
        lambda: test_mesh_workers.test_a_slow_or_failing_worker_gets_few_requests("slow", 15),
    ),
    "samples of the fault ratio": (
        FaultRatio,
        "sample",
        lambda self, now, failed: None,
        lambda: test_mesh_workers.test_a_slow_or_failing_worker_gets_few_requests("failing", 60),
    ),
    "probe of the worker": (
        WorkerProbe,
        "find",
        lambda self, path: None,
        test_mesh_workers.test_a_restarted_sidecar_serves_its_worker_before_the_next_heartbeat,
    ),
    "no retry of calls made by a retried run": (
        Dispatcher,
        "_should_retry",
        retry_within_a_retried_run,
        test_call_tree.test_calls_made_by_a_retried_run_are_not_retried,
    ),
    "early vote for the former leader": (
        voting,
        "may_support_a_lease",
        lambda voter, request: voter.leads or voter.timer_restarted_recently,
        lambda: test_controllers.test_after_all_were_killed_the_former_leader_leads_at_once(
            1, True
        ),
    ),
    "sync of the log to disk": (
        Log,
        "sync",
        lambda self: self.last_index,
        lambda: test_controllers.test_two_lost_disks_and_a_loss_of_all_power_lose_nothing(1),
    ),
    "end of the transfer of a body": (
        BodyTransfer,
        "end",
        lambda self: self._complete,
        lambda: early_end_of_a_request("answered", test_early_answers.REMOTE, False),
    ),
    "close of a connection whose body was cut": (
        BodyTransfer,
        "end",
        lambda self: self._task.kill() or True,
        lambda: early_answer_and_other_requests("refuse_early", test_early_answers.LOCAL, False),
    ),
    "reading of a body to its end after an early answer": (
        ForwardedBody,
        "skip",
        lambda self: None,
        lambda: request_after_an_early_answer("answer_early"),
    ),
}

early_end_of_a_request = (
    test_early_answers.test_a_request_that_ends_while_its_body_arrives_leaves_one_reader
)
early_answer_and_other_requests = (
    test_early_answers.test_a_connection_that_owes_the_rest_of_a_body_gets_no_other_request
)
request_after_an_early_answer = (
    test_early_answers.test_a_request_after_an_early_answer_is_not_lost_between_two_sidecars
)

OutcomeLimiter_admits = OutcomeLimiter.admits


@pytest.mark.parametrize("mechanism", sorted(MECHANISMS))
def test_disabling_a_mechanism_fails_the_test_of_its_guarantee(mechanism, monkeypatch):
    owner, name, replacement, covering_test = MECHANISMS[mechanism]
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        covering_test()
