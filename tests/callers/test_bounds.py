"""Tests of the node's byte budget and internal errors, as callers observe them."""

from __future__ import annotations

import unittest

import urllib3

from crocuswick.callers import CallersInterface, CompletionContext, callers_application
from crocuswick.http_server import HttpServer
from crocuswick.metrics import Metrics
from crocuswick.resume_token import ResumeTokens
from crocuswick.time_line import TimeLine
from tests.fakes.launcher import wait_until
from tests.fleet import MODEL, Fleet, FleetPlan, caller_key

LARGE_PROMPT = "x" * 300_000


class ByteBudgetTests(unittest.TestCase):
    def test_exhausted_byte_budget_refuses_until_bytes_are_released(self):
        plan = FleetPlan(
            nodes=1,
            engines=1,
            engine_flags={"decode_ms": 20},
            node_settings={
                "callers": {"max_body_bytes": 500_000, "max_buffered_bytes": 500_000}
            },
        )
        with Fleet(plan=plan) as fleet:
            self.assertEqual(fleet.apply().returncode, 0)
            fleet.wait_ready()
            url = f"{fleet.nodes[0].url}/v1/completions"
            first = self.post(url, LARGE_PROMPT, tokens=60, stream=True)
            self.assertEqual(first.status, 200)
            refused = self.post(url, LARGE_PROMPT, tokens=1)
            self.assertEqual(refused.status, 503)
            self.assertEqual(refused.json()["outcome"], "not_run")
            self.assertEqual(self.post(url, "small", tokens=1).status, 200)
            self.assertTrue(first.data.endswith(b"[DONE]\n\n"))
            wait_until(
                lambda: self.post(url, LARGE_PROMPT, tokens=1).status == 200,
                what="the bytes to be released",
            )

    def post(self, url, prompt, *, tokens, stream=False):
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        }
        return urllib3.PoolManager(retries=False).request(
            "POST",
            url,
            json=body,
            headers={"Authorization": f"Bearer {caller_key('swanfold')}"},
            preload_content=not stream,
        )


class InternalErrorTests(unittest.TestCase):
    def test_internal_error_never_reports_not_run(self):
        def broken() -> None:
            raise LookupError("for the test")

        interface = CallersInterface(
            completions=CompletionContext(
                dispatcher=None,
                clients=None,
                resume_tokens=ResumeTokens(keys=[b"k"]),
                time_line=TimeLine(node_id="n"),
                metrics=Metrics(node_id="n"),
                served_version=lambda model: "v1",
            ),
            services=None,
            configuration=broken,
            ready=lambda: True,
            max_body_bytes=4096,
        )
        server = HttpServer(
            host="127.0.0.1",
            port=0,
            application=callers_application(interface),
            threads=2,
        )
        server.start()
        self.addCleanup(server.stop)
        response = urllib3.PoolManager(retries=False).request(
            "GET", f"http://{server.address}/v1/models"
        )
        self.assertEqual(response.status, 500)
        self.assertEqual(response.json()["outcome"], "unknown")
        self.assertEqual(response.headers["X-Crocuswick-Outcome"], "unknown")
