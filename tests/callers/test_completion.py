"""Tests of a completion's attempts against scripted engines."""

from __future__ import annotations

import unittest
from collections import deque
from typing import Any
from unittest import mock

import attrs
from result import Err, Ok

from crocuswick.block_key import BLOCK_BYTES
from crocuswick.callers.completion import CompletionContext, CompletionRun
from crocuswick.callers.completion_request import CompletionRequest, Dialect
from crocuswick.dispatcher import (
    Dispatcher,
    FailureVerdict,
    no_endpoint_refusal,
)
from crocuswick.endpoints import StreamFault
from crocuswick.errors import PeerError
from crocuswick.metrics import Metrics
from crocuswick.outcome import Outcome
from crocuswick.placement import Placement
from crocuswick.resume_token import ResumePoint, ResumeTokens
from crocuswick.stream_guard import TokenEvent
from crocuswick.time_line import TimeLine

REFUSED = PeerError(
    step="open", peer="e", detail="connection refused", outcome=Outcome.NOT_RUN
)
NO_RESPONSE = PeerError(
    step="open", peer="e", detail="timed out", outcome=Outcome.UNKNOWN
)
CLOSED = StreamFault(step="closed", peer="e", detail="ended early")


class ScriptedStream:
    """Yields prepared items as a stream."""

    incarnation = "i1"

    def __init__(self, items: list[Any]):
        self._items = items

    def events(self):
        yield from self._items

    def close(self) -> None:
        pass


class ScriptedEngine:
    """Answers ``open`` and ``resume`` from prepared queues."""

    def __init__(self, *, opened: list[Any], resumed: list[Any] | None = None):
        self._opened = deque(opened)
        self._resumed = deque(resumed or [])
        self.imports = []
        self.requests = []
        self.resumes = []

    def open(self, request):
        self.requests.append(request)
        return self._next(self._opened, request.request_id)

    def resume(self, *, request_id: str, from_index: int):
        self.resumes.append(from_index)
        return self._next(self._resumed, request_id)

    def load(self):
        return Err(REFUSED)

    def import_cache(self, *, source_address: str, keys: list[int]):
        self.imports.append((source_address, len(keys)))
        return Err(NO_RESPONSE)

    def _next(self, queue: deque, request_id: str):
        step = queue.popleft()
        if isinstance(step, PeerError):
            return Err(step)
        items = [
            Ok(token(request_id, *item)) if isinstance(item, tuple) else Err(item)
            for item in step
        ]
        return Ok(ScriptedStream(items))


def token(request_id: str, index: int, last: bool = False, owner: str = ""):
    return TokenEvent(
        request_id=owner or request_id,
        index=index,
        text=f" t{index}",
        finish_reason="length" if last else None,
    )


class ScriptedClients:
    """Holds the engines by id and records cancellations."""

    def __init__(self, engines_by_id: dict[str, ScriptedEngine]):
        self._engines_by_id = engines_by_id
        self.cancelled = []

    def get(self, endpoint_id: str):
        return self._engines_by_id.get(endpoint_id)

    def address_of(self, endpoint_id: str):
        return f"{endpoint_id}:1"

    def cancel_in_background(self, endpoint_id: str, request_id: str) -> None:
        self.cancelled.append((endpoint_id, request_id))


class ScriptedDispatcher:
    """Places requests at prepared endpoints and allows a retry while any is left."""

    ready_version = "v1"

    def __init__(self, endpoint_ids: list[str], import_from: str | None):
        self._endpoint_ids = deque(endpoint_ids)
        self._import_from = import_from
        self.failures = []
        self.finished = 0

    def ask(self, message):
        if isinstance(message, Dispatcher.Place):
            if message.request.weights_version != self.ready_version:
                return Err(no_endpoint_refusal("none has these weights", None))
            return Ok(
                Placement(
                    endpoint_id=self._endpoint_ids.popleft(),
                    predicted_cached_blocks=2 if self._import_from else 0,
                    expected_ttft_ms=1,
                    reason="test",
                    import_from=self._import_from,
                )
            )
        self.failures.append(message)
        return FailureVerdict(retry=bool(self._endpoint_ids))

    def tell(self, message):
        self.finished += isinstance(message, Dispatcher.AttemptFinished)


class CompletionRunTests(unittest.TestCase):
    served_version = "v1"

    def run_completion(
        self,
        engines_by_id: dict[str, ScriptedEngine],
        max_tokens: int = 3,
        prompt: str = "P",
        import_from: str | None = None,
    ):
        self.clients = ScriptedClients(engines_by_id)
        self.dispatcher = ScriptedDispatcher(list(engines_by_id), import_from)
        context = CompletionContext(
            dispatcher=self.dispatcher,
            clients=self.clients,
            resume_tokens=ResumeTokens(keys=[b"k"]),
            time_line=TimeLine(node_id="n"),
            metrics=Metrics(node_id="n"),
            served_version=lambda model: self.served_version,
        )
        request = CompletionRequest(
            request_id="r",
            organisation="o",
            dialect=Dialect.TEXT,
            model="survey",
            engine_model="m",
            weights_version="v1",
            pool="p",
            prompt=prompt,
            max_tokens=max_tokens,
            priority=0,
            stream=True,
            deadline_ms=10_000,
            options={},
        )
        self.run_ = CompletionRun(context=context, request=request)
        return list(self.run_.deliveries())

    def assert_complete(self, items: list[Any], tokens: int = 3):
        self.assertTrue(all(item.is_ok() for item in items), items)
        reasons = [item.ok_value.finish_reason for item in items]
        self.assertEqual(reasons.count("length"), 1)
        self.assertEqual(reasons[-1], "length")
        counts = [item.ok_value.completion_tokens for item in items]
        self.assertEqual(counts[-1], tokens)

    def test_gap_is_resumed_at_the_missing_index(self):
        engine = ScriptedEngine(opened=[[(0,), (2, True)]], resumed=[[(1,), (2, True)]])
        items = self.run_completion({"a": engine})
        self.assert_complete(items)
        self.assertEqual(engine.resumes, [1])

    def test_repeated_and_foreign_events_are_dropped(self):
        steps = [(0,), (0,), (1, True, "other"), (1,), (0,), (2, True)]
        items = self.run_completion({"a": ScriptedEngine(opened=[steps])})
        self.assert_complete(items)
        self.assertEqual(len(items), 3)

    def test_crashed_engine_is_continued_elsewhere_from_prompt_and_text(self):
        crashing = ScriptedEngine(opened=[[(0,), CLOSED]], resumed=[REFUSED])
        other = ScriptedEngine(opened=[[(0,), (1, True)]])
        items = self.run_completion({"a": crashing, "b": other})
        self.assert_complete(items)
        self.assertEqual(other.requests[0].prompt, "P t0")
        self.assertEqual(other.requests[0].max_tokens, 2)
        self.assertEqual(self.dispatcher.failures[0].kind, "crashed")

    def test_end_without_finish_reason_after_the_last_token_is_complete(self):
        crashing = ScriptedEngine(
            opened=[[(0,), (1,), (2,), CLOSED]], resumed=[REFUSED]
        )
        self.assert_complete(self.run_completion({"a": crashing}))

    def test_request_uses_weights_that_a_rollout_has_just_activated(self):
        self.served_version = "v2"
        with mock.patch.object(ScriptedDispatcher, "ready_version", "v2"):
            engine = ScriptedEngine(opened=[[(0, True)]])
            self.assert_complete(self.run_completion({"a": engine}, max_tokens=1), 1)
        self.assertEqual(engine.requests[0].weights_version, "v2")

    def test_request_without_an_endpoint_is_refused_at_once(self):
        with mock.patch.object(ScriptedDispatcher, "ready_version", "none"):
            items = self.run_completion({"a": ScriptedEngine(opened=[])})
        self.assertIs(items[0].err_value.outcome, Outcome.NOT_RUN)

    def resume(self, engine: ScriptedEngine, **changes: Any) -> list[Any]:
        self.run_completion({"a": ScriptedEngine(opened=[[(0, True)]])}, max_tokens=1)
        self.clients._engines_by_id["a"] = engine
        point = ResumePoint(
            organisation="o",
            pool="p",
            endpoint_id="a",
            incarnation="i1",
            engine_request_id="r-0",
            index=1,
            delivered=2,
        )
        return list(self.run_.resume(attrs.evolve(point, **changes)))

    def test_resumption_continues_after_the_last_event(self):
        engine = ScriptedEngine(opened=[], resumed=[[(2,), (3, True)]])
        items = self.resume(engine)
        self.assert_complete(items, tokens=4)
        self.assertEqual(engine.resumes, [2])

    def test_resumption_after_the_last_token_yields_nothing_more(self):
        self.assertEqual(self.resume(ScriptedEngine(opened=[]), finished=True), [])

    def test_resume_token_of_the_last_token_is_marked_finished(self):
        items = self.run_completion({"a": ScriptedEngine(opened=[[(0,), (1, True)]])})
        tokens = ResumeTokens(keys=[b"k"])
        points = [tokens.read(each.ok_value.resume_token).ok_value for each in items]
        self.assertEqual([point.finished for point in points], [False, True])

    def test_resumption_from_a_silent_endpoint_may_be_tried_elsewhere(self):
        silent = attrs.evolve(NO_RESPONSE, timed_out=True)
        refusal = self.resume(ScriptedEngine(opened=[], resumed=[silent]))[0].err_value
        self.assertEqual((refusal.status, refusal.retry_after_s), (503, 1.0))

    def test_resumption_from_a_crashed_endpoint_is_final(self):
        crashed = ScriptedEngine(opened=[], resumed=[REFUSED])
        refusal = self.resume(crashed)[0].err_value
        self.assertEqual((refusal.status, refusal.retry_after_s), (410, None))

    def test_cached_prefix_of_the_source_is_imported(self):
        engine = ScriptedEngine(opened=[[(0, True)]])
        prompt = "x" * (3 * BLOCK_BYTES)
        items = self.run_completion(
            {"a": engine}, max_tokens=1, prompt=prompt, import_from="b"
        )
        self.assert_complete(items, tokens=1)
        self.assertEqual(engine.imports, [("b:1", 2)])

    def test_incomplete_response_ends_with_a_refusal(self):
        crashing = ScriptedEngine(opened=[[(0,), CLOSED]], resumed=[REFUSED])
        items = self.run_completion({"a": crashing})
        self.assertTrue(items[-1].is_err())
        self.assertIs(items[-1].err_value.outcome, Outcome.RAN)

    def test_refusal_after_an_uncertain_attempt_never_reports_not_run(self):
        uncertain = ScriptedEngine(opened=[NO_RESPONSE], resumed=[NO_RESPONSE])
        refusing = ScriptedEngine(opened=[REFUSED])
        items = self.run_completion({"a": uncertain, "b": refusing})
        self.assertIs(items[-1].err_value.outcome, Outcome.UNKNOWN)

    def test_refusal_reports_not_run_only_when_nothing_was_sent(self):
        unsent = self.run_completion({"a": ScriptedEngine(opened=[REFUSED])})
        self.assertIs(unsent[0].err_value.outcome, Outcome.NOT_RUN)
        engine = ScriptedEngine(opened=[NO_RESPONSE], resumed=[NO_RESPONSE])
        uncertain = self.run_completion({"a": engine})
        self.assertIs(uncertain[0].err_value.outcome, Outcome.UNKNOWN)

    def test_attempt_at_a_silent_engine_is_abandoned_and_cancelled(self):
        silent = StreamFault(step="silent", peer="a", detail="no byte")
        stalled = ScriptedEngine(
            opened=[[(0,), silent]], resumed=[[silent], [silent], [silent]]
        )
        other = ScriptedEngine(opened=[[(0,), (1, True)]])
        self.assert_complete(self.run_completion({"a": stalled, "b": other}))
        self.assertIn(("a", "r-0"), self.clients.cancelled)

    def test_disconnected_caller_cancels_at_the_engine(self):
        self.run_completion({"a": ScriptedEngine(opened=[[(0, True)]])}, max_tokens=1)
        engine = ScriptedEngine(opened=[[(0,), (1,), (2, True)]])
        self.clients._engines_by_id["a"] = engine
        self.dispatcher._endpoint_ids.append("a")
        deliveries = self.run_.deliveries()
        self.run_._text.clear()
        next(deliveries)
        deliveries.close()
        self.assertEqual([entry[0] for entry in self.clients.cancelled], ["a"])
