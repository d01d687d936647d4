"""HTTP interface of the fake engine.

Fault settings: see `tests.fakes.engine_faults.EngineFaults`. In addition:

* ``POST /control/restart`` drops all requests and blocks and begins a new
  incarnation inside the same process;
* ``--history=FILE`` names a file to which a JSON line is appended when a request
  starts and when it ends, so that the history survives a crash.

A stream begins with the comment ``: accepted``, so that the headers are sent at
once.
"""

from __future__ import annotations

import queue
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import msgpack
import urllib3
from absl import app, flags

from tests.fakes.control import Controlled
from tests.fakes.engine_core import EngineCosts, EngineTask
from tests.fakes.engine_faults import (
    EngineFaults,
    StreamDoneError,
    StreamEndedError,
    with_stream_faults,
)
from tests.fakes.engine_history import EngineHistory
from tests.fakes.engine_jobs import Completion, StreamStop, Subscription, TokenEvent
from tests.fakes.engine_messages import (
    Cancel,
    CopyHistory,
    ImportKeys,
    LoadEnded,
    Order,
    ReadCacheEvents,
    ReadExport,
    ReadLoad,
    ReadSnapshot,
    ReadState,
    Restart,
    Resume,
    SetFaults,
    Unsubscribe,
)
from tests.fakes.engine_orders import ServingState
from tests.fakes.http_service import Reply, Request, Routes, drop_connection, serve

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Engine"]

MODELS_FLAG = flags.DEFINE_list("models", ["m=v1"], "Models served, name=version.")
PREFILL_FLAG = flags.DEFINE_float(
    "prefill_us_per_token", 20, "Cost of prefill, in microseconds per token."
)
DECODE_FLAG = flags.DEFINE_float(
    "decode_ms", 4, "Duration of a decode step, in milliseconds."
)
RUNNING_FLAG = flags.DEFINE_integer(
    "max_running", 16, "Maximum number of requests in a batch."
)
QUEUED_FLAG = flags.DEFINE_integer(
    "max_queued", 64, "Maximum number of queued requests."
)
CHUNK_FLAG = flags.DEFINE_integer(
    "prefill_chunk_tokens", 2048, "Limit of prefill tokens in one step."
)
CAPACITY_FLAG = flags.DEFINE_integer(
    "capacity_blocks", 256, "Capacity of the cache, in blocks."
)
SLOW_LOAD_FLAG = flags.DEFINE_integer(
    "slow_load_ms",
    1000,
    "Milliseconds to load new weights, besides the time of the weight store.",
)
WEIGHT_STORE_FLAG = flags.DEFINE_string(
    "weight_store", "", "Base URL of the weight store; empty: no weight store is used."
)
CHECK_TOKENS_FLAG = flags.DEFINE_bool(
    "check_tokens", True, "Refuse orders with an outdated fencing token."
)
POISON_FLAG = flags.DEFINE_string(
    "poison_marker", "", "Text in a prompt that makes the process crash."
)
IMPORT_FLAG = flags.DEFINE_integer(
    "import_us_per_block", 2000, "Time to import a block, in microseconds."
)
BLOCK_BYTES_FLAG = flags.DEFINE_integer(
    "export_block_bytes", 1024, "Size of an exported block, in bytes."
)
FINISHED_KEPT_FLAG = flags.DEFINE_integer(
    "finished_kept_ms",
    10_000,
    "Milliseconds during which a finished request can be resumed.",
)
UNATTENDED_KEPT_FLAG = flags.DEFINE_integer(
    "unattended_kept_ms",
    5_000,
    "Milliseconds after which a request without a connection is cancelled.",
)
HISTORY_FLAG = flags.DEFINE_string(
    "history", "", "File to which the history is appended as JSON lines."
)
PROMPTS_FLAG = flags.DEFINE_bool(
    "record_prompts", False, "Record whole prompts in the history."
)

CALLER_CHECK_INTERVAL_S = 0.25
PEER_TIMEOUT_S = 30.0
NO_FAULTS = EngineFaults()
STREAM_HEADERS = {"Cache-Control": "no-store"}
_COMPLETION_FIELDS = {field.name for field in attrs.fields(Completion)}

_http = urllib3.PoolManager(retries=False, timeout=PEER_TIMEOUT_S)


class Engine(Controlled):
    """HTTP interface of an engine."""

    routes = Routes()

    def __init__(self, *, faults: EngineFaults, task: EngineTask):
        super().__init__(faults=faults)
        self._task = task

    def history(self) -> Any:
        """Return the records of requests and orders."""
        return self._task.ask(CopyHistory())

    def faults_changed(self, changed: frozenset[str]) -> None:
        """Pass the fault settings on to the task."""
        self._task.ask(SetFaults(faults=self.faults, changed=changed))

    @routes.route("POST", "/control/restart")
    def restart(self, request: Request) -> Reply:
        """Begin a new incarnation."""
        return Reply(body={"incarnation": self._task.ask(Restart())})

    @routes.route("POST", "/v1/completions")
    def complete(self, request: Request) -> Reply:
        """Queue a completion and stream its events."""
        fields = request.json()
        known = {name: fields[name] for name in _COMPLETION_FIELDS & fields.keys()}
        try:
            completion = Completion(**known)
        except TypeError as error:
            return Reply(status=400, body={"error": str(error), "run": False})
        answer = self._task.ask(completion)
        if isinstance(answer, Reply):
            return answer
        return self._stream(request, completion.request_id, answer)

    @routes.route("GET", "/v1/requests/{request_id}/events")
    def resume(self, request: Request, request_id: str) -> Reply:
        """Stream the events of a known request, starting at an index."""
        start = request.number("from")
        subscription = self._task.ask(Resume(request_id=request_id, start=start))
        if subscription is None:
            return Reply(status=404, body={"error": "unknown request"})
        return self._stream(request, request_id, subscription)

    @routes.route("POST", "/v1/requests/{request_id}/cancel")
    def cancel(self, request: Request, request_id: str) -> Reply:
        """Cancel a request."""
        cancelled = self._task.ask(Cancel(request_id=request_id))
        return Reply(body={"cancelled": cancelled})

    @routes.route("GET", "/v1/load")
    def load(self, request: Request) -> Reply:
        """Return the load report."""
        return Reply(body=self._task.ask(ReadLoad()))

    @routes.route("GET", "/v1/state")
    def state(self, request: Request) -> Reply:
        """Return what the engine serves and the state of its last orders."""
        return Reply(body=self._task.ask(ReadState()))

    @routes.route("GET", "/v1/cache/events")
    def cache_events(self, request: Request) -> Reply:
        """Return cache events, by long polling."""
        wait_s = request.number("wait_ms") / 1000
        message = ReadCacheEvents(after=request.number("after"), wait_s=wait_s)
        return Reply(body=self._task.ask(message))

    @routes.route("GET", "/v1/cache")
    def cache(self, request: Request) -> Reply:
        """Return a snapshot of the cache."""
        return Reply(body=self._task.ask(ReadSnapshot()))

    @routes.route("GET", "/v1/cache/export")
    def export_blocks(self, request: Request) -> Reply:
        """Export blocks to another engine."""
        text = request.query.get("keys", "")
        keys = [int(key, 16) for key in text.split(",") if key]
        cached = self._task.ask(ReadExport(keys=keys))
        filler = bytes(BLOCK_BYTES_FLAG.value)
        blocks = [(key, filler) for key in cached]
        return Reply(
            body=msgpack.packb(blocks), content_type="application/octet-stream"
        )

    @routes.route("POST", "/v1/cache/import")
    def import_blocks(self, request: Request) -> Reply:
        """Import blocks from another engine."""
        order = request.json()
        if not order["keys"]:
            return Reply(body={"imported": 0})
        url = f"{order['from']}/v1/cache/export?keys={','.join(order['keys'])}"
        try:
            response = _http.request("GET", url)
        except urllib3.exceptions.HTTPError as error:
            return Reply(status=502, body={"error": str(error), "imported": 0})
        if response.status != 200:
            return Reply(status=502, body={"error": "export failed", "imported": 0})
        keys = [key for key, _ in msgpack.unpackb(response.data)]
        time.sleep(len(keys) * IMPORT_FLAG.value / 1e6)
        message = ImportKeys(source=order["from"], keys=keys)
        return Reply(body={"imported": self._task.ask(message)})

    @routes.route("POST", "/v1/orders")
    def order(self, request: Request) -> Reply:
        """Accept an order; weights are loaded after the response."""
        order = Order(**request.json())
        reply = self._task.ask(order)
        if reply.status == 200 and reply.body.pop("must_load"):
            name = f"load-{order.order_id}"
            loader = threading.Thread(
                target=self._load_weights, args=(order,), name=name, daemon=True
            )
            loader.start()
        if self.consume_count("lose_next_order_answers"):
            drop_connection()
        return reply

    def _load_weights(self, order: Order) -> None:
        time.sleep(SLOW_LOAD_FLAG.value / 1000)
        failure = self._fetch_weights(order)
        self._task.tell(LoadEnded(order=order, failure=failure))

    def _fetch_weights(self, order: Order) -> str | None:
        if not WEIGHT_STORE_FLAG.value:
            return None
        path = f"/v1/weights/{order.model}/{order.weights_version}"
        try:
            response = _http.request("GET", WEIGHT_STORE_FLAG.value + path)
        except urllib3.exceptions.HTTPError as error:
            return str(error)
        return None if response.status == 200 else f"weight store: {response.status}"

    def _stream(
        self, request: Request, request_id: str, subscription: Subscription
    ) -> Reply:
        return Reply(
            content_type="text/event-stream",
            headers={**STREAM_HEADERS, "X-Engine-Incarnation": self._task.incarnation},
            chunks=self._chunks(request, request_id, subscription),
        )

    def _chunks(
        self, request: Request, request_id: str, subscription: Subscription
    ) -> Iterator[bytes]:
        # The subscription ends with the connection, however the stream ends.
        try:
            yield b": accepted\n\n"
            events = _events(request, subscription)
            for event in with_stream_faults(events, faults=self._next_stream_faults()):
                yield event.encoded()
            yield b"data: [DONE]\n\n"
        except StreamDoneError:
            yield b"data: [DONE]\n\n"
        except StreamEndedError:
            return
        finally:
            self._task.tell(
                Unsubscribe(request_id=request_id, subscription=subscription)
            )

    def _next_stream_faults(self) -> EngineFaults:
        faults = self.faults
        all_streams = faults.fault_streams < 0
        return (
            faults if all_streams or self.consume_count("fault_streams") else NO_FAULTS
        )


def _events(request: Request, subscription: Subscription) -> Iterator[TokenEvent]:
    while True:
        try:
            item = subscription.items.get(timeout=CALLER_CHECK_INTERVAL_S)
        except queue.Empty:
            if request.caller_has_disconnected():
                raise StreamEndedError from None
            continue
        if item is StreamStop.DONE:
            return
        if item is StreamStop.CANCELLED:
            raise StreamEndedError
        if item is StreamStop.RESET:
            drop_connection()
        yield item


def _costs() -> EngineCosts:
    return EngineCosts(
        prefill_us_per_token=PREFILL_FLAG.value,
        decode_ms=DECODE_FLAG.value,
        max_running=RUNNING_FLAG.value,
        max_queued=QUEUED_FLAG.value,
        prefill_chunk_tokens=CHUNK_FLAG.value,
        capacity_blocks=CAPACITY_FLAG.value,
        finished_retention_s=FINISHED_KEPT_FLAG.value / 1000,
        unattended_timeout_s=UNATTENDED_KEPT_FLAG.value / 1000,
    )


def main(argv: list[str]) -> None:
    """Run the fake."""
    faults = EngineFaults(poison_marker=POISON_FLAG.value)
    serving_state = ServingState(
        version_by_model=dict(entry.split("=") for entry in MODELS_FLAG.value),
        check_tokens=CHECK_TOKENS_FLAG.value,
    )
    history = EngineHistory(
        file=Path(HISTORY_FLAG.value) if HISTORY_FLAG.value else None,
        with_prompts=PROMPTS_FLAG.value,
    )
    task = EngineTask(
        costs=_costs(), faults=faults, serving_state=serving_state, history=history
    )
    task.start()
    serve(Engine(faults=faults, task=task).answer)


if __name__ == "__main__":
    app.run(main)
