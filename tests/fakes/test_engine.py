"""Tests of the text, streams, cache and faults of the fake engine."""

from __future__ import annotations

import json
import unittest
from typing import Any

import urllib3

from crocuswick.block_key import BLOCK_BYTES, block_keys
from tests.fakes.engine_text import expected_answer
from tests.fakes.launcher import Launcher, Process, wait_until

SALT = "00112233445566aa"
POISON = "poison-marker"

http = urllib3.PoolManager(retries=False, timeout=5.0)


def complete(engine: Process, request_id: str, prompt: str, **fields: Any) -> Any:
    body = {
        "request_id": request_id,
        "model": "m",
        "weights_version": "v1",
        "prompt": prompt,
        "max_tokens": 4,
        "cache_salt": SALT,
        **fields,
    }
    url = f"{engine.url}/v1/completions"
    data = json.dumps(body)
    return http.request("POST", url, body=data, preload_content=False)


def events_of(text: bytes) -> list[Any]:
    lines = [line for line in text.decode().splitlines() if line.startswith("data: {")]
    return [json.loads(line.removeprefix("data: ")) for line in lines]


def text_of(events: list[Any]) -> str:
    return "".join(event["text"] for event in events)


class EngineTest(unittest.TestCase):
    launcher: Launcher
    engines: list[Process]

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher()
        cls.addClassCleanup(cls.launcher.close)
        costs = {"prefill_us_per_token": 1, "decode_ms": 1, "unattended_kept_ms": 200}
        cls.engines = [
            cls.launcher.fake("engine", name=f"engine-{number}", wait=False, **costs)
            for number in range(2)
        ]
        cls.launcher.wait_ready()

    def setUp(self) -> None:
        self.first, self.second = self.engines
        for engine in self.engines:
            engine.clear_faults()
            engine.call("POST", "/control/restart")

    def test_answer_continued_by_another_engine_is_the_same(self):
        prompt = "Ünïcode prompt, " * 9
        begun = text_of(events_of(complete(self.first, "a", prompt).data))
        rest = complete(self.second, "a", prompt + begun, max_tokens=3)
        answer = begun + text_of(events_of(rest.data))
        self.assertEqual(answer, expected_answer(prompt, 7))

    def test_reset_stream_resumes_from_an_index(self):
        self.first.set_faults(abort_after=2, fault_streams=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            complete(self.first, "b", "prompt").read()
        path = "/v1/requests/b/events?from=2"
        rest = events_of(http.request("GET", self.first.url + path).data)
        self.assertEqual([event["index"] for event in rest], [2, 3])
        self.assertEqual(rest[-1]["finish_reason"], "length")

    def test_stream_faults_reach_the_caller(self):
        all_indexes = [0, 1, 2, 3]
        expected_indexes_by_fault = {
            "crossed_rate": [index for index in all_indexes for _ in range(2)],
            "repeat_rate": [index for index in all_indexes for _ in range(2)],
            "missing_rate": [3],
            "end_after": [0],
            "done_after": [0],
        }
        for fault, expected_indexes in expected_indexes_by_fault.items():
            with self.subTest(fault=fault):
                self.first.clear_faults()
                self.first.set_faults(**{fault: 1})
                body = complete(self.first, fault, "prompt").data
                events = events_of(body)
                self.assertEqual([event["index"] for event in events], expected_indexes)
                ids = {event["request_id"] for event in events}
                self.assertEqual(len(ids) > 1, fault == "crossed_rate")
                self.assertEqual(body.endswith(b"[DONE]\n\n"), fault != "end_after")

    def test_lost_cache_event_is_detectable_only_with_a_later_one(self):
        path = "/v1/cache/events?after=-1"
        self.first.set_faults(event_drop_rate=1)
        complete(self.first, "lost", "a" * BLOCK_BYTES).read()
        self.assertEqual(self.first.call("GET", path)["next_seq"], 0)
        self.first.set_faults(event_drop_rate=0)
        complete(self.first, "kept", "b" * BLOCK_BYTES).read()
        events = self.first.call("GET", path)["events"]
        self.assertEqual([event["seq"] for event in events], [1])
        self.assertEqual(len(self.first.call("GET", "/v1/cache")["keys"]), 2)

    def test_new_weights_empty_the_cache_and_refuse_the_old_version(self):
        engine = self.launcher.fake("engine", name="loader", slow_load_ms=10)
        complete(engine, "old", "a" * BLOCK_BYTES).read()
        order = {"order_id": "o", "fencing_token": 1, "action": "load_model"}
        order |= {"model": "m", "weights_version": "v2"}
        engine.call("POST", "/v1/orders", order)
        wait_until(lambda: engine.call("GET", "/v1/state")["models"] == {"m": "v2"})
        self.assertEqual(engine.call("GET", "/v1/cache")["keys"], [])
        self.assertEqual(complete(engine, "late", "a").status, 409)
        self.assertEqual(engine.history()["requests"][0]["served_version"], "v1")

    def test_cache_is_counted_published_and_imported(self):
        prompt = "x" * (2 * BLOCK_BYTES + 5)
        keys = [f"{key:016x}" for key in block_keys(prompt, salt=SALT)]
        cold = events_of(complete(self.first, "c", prompt).data)
        warm = events_of(complete(self.first, "d", prompt).data)
        self.assertEqual(cold[0]["cached_tokens"], 0)
        self.assertEqual(warm[0]["cached_tokens"], 2048)
        published = self.first.call("GET", "/v1/cache/events?after=-1")["events"]
        self.assertEqual([event["keys"] for event in published], [keys])
        order = {"from": self.first.url, "keys": keys}
        imported = self.second.call("POST", "/v1/cache/import", order)
        self.assertEqual(imported, {"imported": 2})
        moved = events_of(complete(self.second, "e", prompt).data)
        self.assertEqual(moved[0]["cached_tokens"], 2048)

    def test_old_fencing_token_is_refused(self):
        order = {"order_id": "o", "action": "set_role", "role": "decode"}
        self.first.call("POST", "/v1/orders", {**order, "fencing_token": 7})
        with self.assertRaisesRegex(RuntimeError, "409.*fenced"):
            self.first.call("POST", "/v1/orders", {**order, "fencing_token": 6})

    def test_poison_request_crashes_the_process_and_is_in_the_history(self):
        history = self.launcher.directory / "history"
        engine = self.launcher.fake(
            "engine", name="poisoned", history=history, poison_marker=POISON
        )
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            complete(engine, "f", f"a {POISON} b").read()
        self.assertEqual(engine.wait_end(), 70)
        record = json.loads(history.read_text().splitlines()[-1])
        self.assertEqual((record["phase"], record["request_id"]), ("start", "f"))
        engine.restart()
        self.assertEqual(engine.call("GET", "/v1/cache")["keys"], [])

    def test_request_of_a_disconnected_caller_is_cancelled(self):
        self.first.set_faults(freeze=True)
        stream = complete(self.first, "g", "prompt")
        stream.close()
        stream.release_conn()
        wait_until(
            lambda: self.first.history()["requests"][-1]["outcome"] == "cancelled",
            timeout_s=8.0,
            what="the cancellation",
        )
