"""Tests of the outcomes of plain service calls."""

from __future__ import annotations

import unittest
from collections import deque

from result import Err, Ok

from crocuswick.callers.service_run import (
    MAX_RECORDED_BODY_BYTES,
    ServiceContext,
    ServiceRequest,
    ServiceRun,
)
from crocuswick.configuration import Endpoint, EndpointPool, Service
from crocuswick.dispatcher import Dispatcher, FailureVerdict
from crocuswick.endpoints import ServiceCall, ServiceResponse
from crocuswick.errors import PeerError
from crocuswick.metrics import Metrics
from crocuswick.outcome import Outcome
from crocuswick.platform_log import ClaimVerdict, ClaimVerdictKind
from crocuswick.time_line import TimeLine

OK_RESPONSE = ServiceResponse(status=201, headers={"Content-Type": "x"}, body=b"done")


def failure(outcome: Outcome) -> PeerError:
    return PeerError(step="service call", peer="e", detail="d", outcome=outcome)


REFUSED = failure(Outcome.NOT_RUN)
LOST = failure(Outcome.UNKNOWN)


class ScriptedClient:
    """Returns prepared results for calls and counts the calls."""

    def __init__(self, steps):
        self._steps = deque(steps)
        self.sent = 0

    def send(self, **_call):
        self.sent += 1
        step = self._steps.popleft()
        return Err(step) if isinstance(step, PeerError) else Ok(step)


class ScriptedDispatcher:
    """Allows a retry after every attempt."""

    def ask(self, message):
        if isinstance(message, Dispatcher.GetUnavailableEndpoints):
            return frozenset()
        return FailureVerdict(retry=True)


class ScriptedClaims:
    """Returns a prepared verdict and keeps what is recorded."""

    def __init__(self, verdict):
        self._verdict = verdict
        self.recorded = []

    def claim(self, **_scope):
        return self._verdict

    def complete(self, claim_id, **_response):
        self.recorded.append(("complete", claim_id))

    def record_unknown_outcome(self, claim_id):
        self.recorded.append(("unknown", claim_id))

    def abandon(self, claim_id):
        self.recorded.append(("abandon", claim_id))


FIRST = Ok(ClaimVerdict(kind=ClaimVerdictKind.FIRST, claim_id="c"))


class ServiceRunTests(unittest.TestCase):
    def run_call(self, steps, *, method="POST", key=None, claimed=FIRST):
        self.client = ScriptedClient(steps)
        self.claims = ScriptedClaims(claimed)
        endpoints = tuple(
            Endpoint(id=name, address="127.0.0.1:1", zone="z") for name in "abc"
        )
        context = ServiceContext(
            dispatcher=ScriptedDispatcher(),
            claims=self.claims,
            metrics=Metrics(node_id="n"),
            time_line=TimeLine(node_id="n"),
            zone="z",
        )
        request = ServiceRequest(
            request_id="r",
            organisation="o",
            service=Service(id="s", prefix="s", pool="p"),
            pool=EndpointPool(id="p", kind="plain", endpoints=endpoints),
            call=ServiceCall(method=method, path="/bookings", headers={}, body=b""),
            idempotency_key=key,
        )
        return ServiceRun(context=context, request=request, client=self.client).run()

    def test_call_without_key_is_not_retried_after_it_was_sent(self):
        result = self.run_call([LOST, OK_RESPONSE])
        self.assertIs(result.err_value.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.client.sent, 1)

    def test_call_that_was_never_sent_goes_to_another_endpoint(self):
        self.assertEqual(self.run_call([REFUSED, OK_RESPONSE]).ok_value, OK_RESPONSE)

    def test_refusal_after_an_uncertain_attempt_never_reports_not_run(self):
        for steps in ([LOST, REFUSED, REFUSED], [REFUSED, LOST, REFUSED]):
            result = self.run_call(steps, method="GET")
            self.assertIs(result.err_value.outcome, Outcome.UNKNOWN)

    def test_claim_records_the_outcome_of_the_call(self):
        cases = {
            "complete": [OK_RESPONSE],
            "unknown": [LOST],
            "abandon": [REFUSED, REFUSED, REFUSED],
        }
        for kind, steps in cases.items():
            with self.subTest(kind):
                self.run_call(steps, key="k")
                self.assertEqual(self.claims.recorded, [(kind, "c")])

    def test_response_too_large_to_record_is_not_replayed(self):
        large = ServiceResponse(
            status=201, headers={}, body=b"x" * (MAX_RECORDED_BODY_BYTES + 1)
        )
        result = self.run_call([large], key="k")
        self.assertEqual(result.ok_value, large)
        self.assertEqual(self.claims.recorded, [("unknown", "c")])

    def test_repeat_of_a_call_with_unknown_outcome_is_not_sent(self):
        kind = ClaimVerdictKind.IN_PROGRESS_OR_UNKNOWN
        result = self.run_call([], key="k", claimed=Ok(ClaimVerdict(kind=kind)))
        self.assertIs(result.err_value.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.client.sent, 0)

    def test_unrecorded_claim_refuses_with_not_run(self):
        result = self.run_call([], key="k", claimed=Err(REFUSED))
        self.assertIs(result.err_value.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.client.sent, 0)
