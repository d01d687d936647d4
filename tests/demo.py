"""End-to-end demonstration, run by ``make demo``.

Starts fake services and three nodes, applies a configuration, streams completions
with a shared prefix, sends one booking twice with the same idempotency key, kills
an engine and a node, and shuts a node down. Prints answers, hit rate and the merged
time line. Exits 0 only if every check passed. With ``KEEP=1`` in the environment
the deployment keeps running after the booking until it is interrupted.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from typing import TYPE_CHECKING

import attrs
import sseclient
import urllib3

from tests.fakes.engine_text import expected_answer
from tests.fakes.launcher import wait_until
from tests.fleet import MODEL, SERVICE_PREFIX, Fleet, caller_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.fakes.launcher import Process

ORGANISATION = "swanfold"
SHARED_PREFIX = "Roster of the sunset tents, seat by seat. " * 500
ANSWER_TOKENS = 40
STREAMS = 6
FAULT_AFTER_TOKENS = 8
"""Tokens of an answer after which an engine or a node is killed."""

_http = urllib3.PoolManager(maxsize=16, retries=False)


@attrs.define(kw_only=True)
class Answer:
    """The part of an answer that a caller has received."""

    text: str = ""
    endpoints: str = ""
    cached_tokens: int = 0
    prompt_tokens: int = 0
    last_event_id: str = ""
    finished: bool = False
    error: str = ""


class Checks:
    """Prints the results of checks and collects the failures."""

    def __init__(self):
        self.failed: list[str] = []

    def check(self, name: str, passed: bool, detail: object = "") -> None:
        """Print the result of a check and record a failure."""
        print(f"  [{'ok' if passed else 'FAILED'}] {name} {detail}")
        if not passed:
            self.failed.append(name)


def headers() -> dict[str, str]:
    """Return the request headers that authenticate the caller."""
    return {"Authorization": f"Bearer {caller_key(ORGANISATION)}"}


def stream(
    node: Process,
    prompt: str,
    answer: Answer,
    on_token: Callable[[Answer, int], None] | None = None,
) -> Answer:
    """Stream a completion; a lost connection leaves the answer unfinished."""
    body = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": ANSWER_TOKENS,
        "stream": True,
    }
    url = f"{node.url}/v1/completions"
    _read(_post(url, body, headers()), answer, on_token)
    return answer


def resume(node: Process, answer: Answer) -> Answer:
    """Resume an answer at another node after its last event."""
    request_headers = {**headers(), "Last-Event-ID": answer.last_event_id}
    url = f"{node.url}/v1/streams"
    _read(
        _http.request("GET", url, headers=request_headers, preload_content=False),
        answer,
        None,
    )
    return answer


def _post(
    url: str, body: dict, request_headers: dict[str, str]
) -> urllib3.BaseHTTPResponse:
    return _http.request(
        "POST", url, json=body, headers=request_headers, preload_content=False
    )


def _read(
    response: urllib3.BaseHTTPResponse,
    answer: Answer,
    on_token: Callable[[Answer, int], None] | None,
) -> None:
    answer.endpoints = response.headers.get("X-Crocuswick-Endpoint", "")
    if response.status != 200:
        answer.error = response.data.decode()
        return
    chunks = iter(lambda: response.read1(65536), b"")
    tokens = 0
    try:
        for event in sseclient.SSEClient(chunks).events():
            if event.event == "error":
                answer.error = event.data
                return
            if event.data == "[DONE]":
                answer.finished = True
                return
            _append_event(answer, event)
            tokens += 1
            if on_token is not None:
                on_token(answer, tokens)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        answer.error = f"connection lost: {error}"


def _append_event(answer: Answer, event: sseclient.Event) -> None:
    chunk = json.loads(event.data)
    answer.last_event_id = event.id
    answer.text += chunk["choices"][0]["text"]
    if "usage" in chunk:
        answer.prompt_tokens = chunk["usage"]["prompt_tokens"]
        details = chunk["usage"]["prompt_tokens_details"]
        answer.cached_tokens = details["cached_tokens"]


def show_shared_prefix(fleet: Fleet, checks: Checks) -> None:
    """Stream answers to prompts that share a prefix through every node."""
    print("Completions with a shared prefix:")
    cached_tokens = prompt_tokens = 0
    for number in range(STREAMS):
        node = fleet.nodes[number % len(fleet.nodes)]
        prompt = f"{SHARED_PREFIX} Question {number}?"
        answer = stream(node, prompt, Answer())
        complete = answer.text == expected_answer(prompt, ANSWER_TOKENS)
        checks.check(
            f"answer {number} by {node.name} and {answer.endpoints} is complete",
            complete and answer.finished,
            f"{answer.cached_tokens} of {answer.prompt_tokens} tokens cached"
            + answer.error,
        )
        cached_tokens += answer.cached_tokens
        prompt_tokens += answer.prompt_tokens
    hit_rate = cached_tokens / max(1, prompt_tokens)
    checks.check("prefix hit rate above 0.6", hit_rate > 0.6, f"{hit_rate:.2f}")


def show_booking(fleet: Fleet, checks: Checks) -> None:
    """Send one booking with an idempotency key to two nodes."""
    print("One booking, sent twice with the same key:")
    request_headers = {**headers(), "Idempotency-Key": "family-17"}
    responses = [
        _http.request(
            "POST",
            f"{node.url}/services/{SERVICE_PREFIX}/bookings",
            json={"seat": "A-12"},
            headers=request_headers,
        )
        for node in fleet.nodes[:2]
    ]
    for response in responses:
        print(f"    {response.status} {response.data.decode()[:120]}")
    runs = fleet.services[0].call("GET", "/control/runs")
    checks.check("the booking ran once", _run_count(runs) == 1, runs)
    checks.check("both got the same answer", responses[0].data == responses[1].data)


def _run_count(runs: object) -> int:
    listed = runs["runs"] if isinstance(runs, dict) else runs
    return len(listed)


def show_engine_loss(fleet: Fleet, checks: Checks) -> None:
    """Kill the engine that generates an answer."""
    print("An engine is killed while it answers:")
    prompt = f"{SHARED_PREFIX} Which tents are full?"

    def kill_engine(answer: Answer, tokens: int) -> None:
        if tokens == FAULT_AFTER_TOKENS:
            fleet.launcher.processes_by_name[answer.endpoints].kill()

    answer = stream(fleet.nodes[0], prompt, Answer(), kill_engine)
    complete = answer.text == expected_answer(prompt, ANSWER_TOKENS)
    checks.check("the answer is complete", complete and answer.finished, answer.error)


def show_node_loss(fleet: Fleet, checks: Checks) -> None:
    """Kill the node that relays an answer, and resume the answer at another node."""
    print("A node is killed while it answers:")
    prompt = f"{SHARED_PREFIX} Which tents are empty?"
    node, other = fleet.nodes[2], fleet.nodes[1]

    def kill_node(_: Answer, tokens: int) -> None:
        if tokens == FAULT_AFTER_TOKENS:
            node.kill()

    answer = stream(node, prompt, Answer(), kill_node)
    checks.check("the caller detected the loss", not answer.finished)
    resume(other, answer)
    complete = answer.text == expected_answer(prompt, ANSWER_TOKENS)
    checks.check(
        "resumed at another node, complete", complete and answer.finished, answer.error
    )


def show_drain(fleet: Fleet, checks: Checks) -> None:
    """Shut a node down while it relays an answer."""
    print("A node shuts down while it answers:")
    prompt = f"{SHARED_PREFIX} Who comes tonight?"
    node = fleet.nodes[1]
    answer = Answer()
    answer_began = threading.Event()

    def on_token(_: Answer, tokens: int) -> None:
        if tokens == 1:
            answer_began.set()

    thread = threading.Thread(target=stream, args=(node, prompt, answer, on_token))
    thread.start()
    answer_began.wait(10)
    node.terminate()
    thread.join()
    code = node.wait_end()
    complete = answer.text == expected_answer(prompt, ANSWER_TOKENS)
    checks.check(
        "no request was interrupted", complete and answer.finished and code == 0
    )


def main() -> int:
    """Run the demonstration.

    Returns:
        Process exit code: 0 if every check passed.
    """
    start_s = time.monotonic()
    checks = Checks()
    with Fleet() as fleet:
        print(f"Fakes and {len(fleet.nodes)} nodes are running.")
        applied = fleet.apply()
        print(applied.stdout + applied.stderr)
        checks.check("the configuration was accepted", applied.returncode == 0)
        fleet.wait_ready()
        wait_until(lambda: _all_engines_ready(fleet), what="engines")
        show_shared_prefix(fleet, checks)
        show_booking(fleet, checks)
        if os.environ.get("KEEP"):
            _wait_for_interrupt(fleet)
        show_engine_loss(fleet, checks)
        show_node_loss(fleet, checks)
        print(fleet.ctl("nodes").stdout)
        print(fleet.ctl("endpoints").stdout)
        show_drain(fleet, checks)
        print(fleet.ctl("timeline").stdout)
    print(f"{time.monotonic() - start_s:.1f} s, {len(checks.failed)} checks failed")
    return 1 if checks.failed else 0


def _all_engines_ready(fleet: Fleet) -> bool:
    listed = fleet.ctl("endpoints", "--json")
    return listed.returncode == 0 and listed.stdout.count('"ready"') >= len(
        fleet.engines
    )


def _wait_for_interrupt(fleet: Fleet) -> None:
    node = fleet.nodes[0]
    print("The deployment stays up until you press Ctrl-C. Try:\n")
    print(
        f"curl -N {node.url}/v1/completions "
        f"-H 'Authorization: Bearer {caller_key(ORGANISATION)}' "
        f'-d \'{{"model": "{MODEL}", "prompt": "Hello", "max_tokens": 8, '
        '"stream": true}\''
    )
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    sys.exit(main())
