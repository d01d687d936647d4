"""The HTTP interface for callers: completions, plain services, health checks."""

from __future__ import annotations

import json
import time
import uuid
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs
import cherrypy
from result import Ok, Result

from crocuswick.block_key import count_tokens
from crocuswick.callers import _refusals as refusals
from crocuswick.callers._body import BodyReader
from crocuswick.callers._completion_format import (
    DONE_EVENT,
    CompletionFormat,
    error_event,
)
from crocuswick.callers._refusals import RefusedError
from crocuswick.callers.completion import (
    CompletionContext,
    CompletionRun,
    fingerprint,
)
from crocuswick.callers.completion_request import (
    CompletionRequest,
    Dialect,
    parse_completion,
)
from crocuswick.callers.service_run import ServiceContext, ServiceRequest, ServiceRun
from crocuswick.configuration import Configuration
from crocuswick.dispatcher import Dispatcher
from crocuswick.draining import PlannedStop, draining_refusal
from crocuswick.endpoints import ServiceCall
from crocuswick.errors import Refusal
from crocuswick.outcome import Outcome
from crocuswick.problem import OUTCOME_HEADER, problem_body, problem_headers

if TYPE_CHECKING:
    from collections.abc import Iterator

    from crocuswick.callers.delivery import Delivery
    from crocuswick.limits import Ticket

__all__ = ["CallersInterface", "CallersRoot", "callers_application"]

FIRST_ERROR_STATUS = 400
UNFORWARDED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        OUTCOME_HEADER.lower(),
        "date",
        "server",
    }
)
EVENT_STREAM = "text/event-stream; charset=utf-8"
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
RESUMED_DEADLINE_MS = 60_000


@attrs.frozen(kw_only=True)
class CallersInterface:
    """Components and settings of the node that the interface uses."""

    completions: CompletionContext
    services: ServiceContext
    configuration: Callable[[], Configuration]
    """Returns the configuration in force."""

    ready: Callable[[], bool]
    """Returns whether the node accepts new requests."""

    max_body_bytes: int
    """Size limit of a request body."""

    stop: PlannedStop = attrs.Factory(PlannedStop)


class CallersRoot:
    """CherryPy root object of the callers' port."""

    def __init__(self, *, interface: CallersInterface):
        self._interface = interface
        self._metrics = interface.completions.metrics
        self._dispatcher = interface.completions.dispatcher
        self._body = BodyReader(
            dispatcher=self._dispatcher, max_body_bytes=interface.max_body_bytes
        )

    @cherrypy.expose
    def index(self, **_query: str) -> bytes:
        """Refuse the root path, which has no content."""
        return self._refuse(refusals.not_found("/"), "")

    @cherrypy.expose
    def default(self, *path: str, **_query: str) -> Any:
        """Route every path except health checks and metrics."""
        request_id = uuid.uuid4().hex
        cherrypy.response.headers["X-Crocuswick-Request-Id"] = request_id
        if self._interface.stop.has_begun:
            cherrypy.response.headers["Connection"] = "close"
        try:
            return self._route(path, request_id)
        except RefusedError as error:
            return self._refuse(error.refusal, request_id)

    @cherrypy.expose
    def healthz(self, **_query: str) -> bytes:
        """Return 200 while the process runs."""
        return self._text_response(b"ok\n")

    @cherrypy.expose
    def readyz(self, **_query: str) -> bytes:
        """Return 200 while the node accepts new requests, else 503."""
        if self._interface.ready():
            return self._text_response(b"ready\n")
        cherrypy.response.status = 503
        return self._text_response(b"not ready\n")

    @cherrypy.expose
    def metrics(self, **_query: str) -> bytes:
        """Return the metrics in the Prometheus text format."""
        body, headers = self._metrics.render()
        cherrypy.response.headers.update(headers)
        return body

    def _route(self, path: tuple[str, ...], request_id: str) -> Any:
        method = cherrypy.request.method
        if path[:1] == ("services",) and len(path) > 1:
            return self._call_service(path[1], request_id)
        routes = {
            ("POST", ("v1", "completions")): self._text_completion,
            ("POST", ("v1", "chat", "completions")): self._chat_completion,
            ("GET", ("v1", "models")): self._list_models,
            ("GET", ("v1", "streams")): self._resume_without_body,
        }
        handler = routes.get((method, path))
        if handler is not None:
            return handler(request_id)
        if any(known == path for _, known in routes):
            raise RefusedError(refusals.wrong_method(method))
        raise RefusedError(refusals.not_found("/" + "/".join(path)))

    def _text_completion(self, request_id: str) -> Any:
        return self._completion(Dialect.TEXT, request_id)

    def _chat_completion(self, request_id: str) -> Any:
        return self._completion(Dialect.CHAT, request_id)

    def _list_models(self, request_id: str) -> bytes:
        configuration, _ = self._authenticate()
        models = sorted(
            policy.model for policy in configuration.routing_policies_by_id.values()
        )
        data = [
            {"id": model, "object": "model", "created": 0, "owned_by": "crocuswick"}
            for model in models
        ]
        return self._json_response({"object": "list", "data": data})

    def _completion(self, dialect: Dialect, request_id: str) -> Any:
        configuration, organisation = self._authenticate()
        resume_token = cherrypy.request.headers.get("Last-Event-ID")
        if resume_token:
            return self._resume_stream(resume_token, organisation, request_id, dialect)
        request = _value_or_raise(
            parse_completion(
                body=self._body.read(),
                dialect=dialect,
                request_id=request_id,
                organisation=organisation,
                priority_name=cherrypy.request.headers.get("X-Priority", "interactive"),
                configuration=configuration,
            )
        )
        times = self._interface.stop.times
        self._check_time(
            request.deadline_ms,
            lambda: times.stream_s(request.pool, request.max_tokens, must_hold=True),
        )
        ticket = self._admit(
            organisation=organisation,
            tokens=count_tokens(request.prompt) + request.max_tokens,
            priority=request.priority,
            fingerprint=fingerprint(request),
        )
        return self._run_completion(request, ticket)

    def _run_completion(self, request: CompletionRequest, ticket: Ticket) -> Any:
        run = CompletionRun(context=self._interface.completions, request=request)
        deliveries = self._observe_ttft(run.deliveries())
        return self._render(
            deliveries,
            ticket,
            CompletionFormat.of(request),
            request.request_id,
            stream=request.stream,
        )

    def _render(
        self,
        deliveries: Iterator[Result[Delivery, Refusal]],
        ticket: Ticket,
        completion_format: CompletionFormat,
        request_id: str,
        *,
        stream: bool,
    ) -> Any:
        """Build the response after the first token has arrived.

        The ticket is released when the response has ended, also after a failure.
        """
        streaming = False
        try:
            item = next(deliveries, None)
            if item is None:
                return self._already_finished()
            first = _value_or_raise(item)
            cherrypy.response.headers["X-Crocuswick-Endpoint"] = first.endpoint_id
            if not stream:
                return self._collect_response(first, deliveries, completion_format)
            self._count_request("completions", 200)
            self._set_event_stream()
            cherrypy.response.stream = True
            streaming = True
            return self._event_stream(
                first, deliveries, ticket, completion_format, request_id
            )
        finally:
            if not streaming:
                deliveries.close()
                self._release(ticket)

    def _already_finished(self) -> bytes:
        """Return the end of a stream to a caller that already has the last token."""
        self._set_event_stream()
        return DONE_EVENT

    def _set_event_stream(self) -> None:
        cherrypy.response.headers["Content-Type"] = EVENT_STREAM
        cherrypy.response.headers["Cache-Control"] = "no-store"

    def _collect_response(
        self,
        first: Delivery,
        deliveries: Iterator[Result[Delivery, Refusal]],
        completion_format: CompletionFormat,
    ) -> bytes:
        delivered = [first]
        for item in deliveries:
            delivered.append(_value_or_raise(item))
        cherrypy.response.headers["Content-Type"] = "application/json"
        self._count_request("completions", 200)
        text = "".join(delivery.text for delivery in delivered)
        return completion_format.document(text, delivered[-1])

    def _event_stream(
        self,
        first: Delivery,
        deliveries: Iterator[Result[Delivery, Refusal]],
        ticket: Ticket,
        completion_format: CompletionFormat,
        request_id: str,
    ) -> Iterator[bytes]:
        try:
            yield completion_format.event(first)
            for item in deliveries:
                if item.is_err():
                    self._count_refusal(item.err_value)
                    yield error_event(problem_body(item.err_value, request_id))
                    return
                yield completion_format.event(item.ok_value)
            yield DONE_EVENT
        finally:
            deliveries.close()
            self._release(ticket)

    def _observe_ttft(
        self, deliveries: Iterator[Result[Delivery, Refusal]]
    ) -> Iterator[Result[Delivery, Refusal]]:
        started_s = time.monotonic()
        try:
            first = next(deliveries)
            self._metrics.ttft.observe({}, time.monotonic() - started_s)
            yield first
            yield from deliveries
        finally:
            deliveries.close()

    def _resume_without_body(self, request_id: str) -> Any:
        _, organisation = self._authenticate()
        token = cherrypy.request.headers.get("Last-Event-ID", "")
        return self._resume_stream(token, organisation, request_id, Dialect.TEXT)

    def _resume_stream(
        self, token: str, organisation: str, request_id: str, dialect: Dialect
    ) -> Any:
        decoded = self._interface.completions.resume_tokens.read(token)
        if decoded.is_err() or decoded.ok_value.organisation != organisation:
            raise RefusedError(refusals.bad_token())
        point = decoded.ok_value
        times = self._interface.stop.times
        self._check_time(RESUMED_DEADLINE_MS, lambda: times.answer_s(point.pool))
        ticket = self._admit(organisation=organisation, tokens=0, priority=0)
        request = CompletionRequest(
            request_id=request_id,
            organisation=organisation,
            dialect=dialect,
            model=point.model,
            engine_model="",
            weights_version="",
            pool=point.pool,
            prompt="",
            max_tokens=0,
            priority=0,
            stream=True,
            # A resume token does not contain the deadline of the original request.
            deadline_ms=RESUMED_DEADLINE_MS,
            options={},
        )
        run = CompletionRun(context=self._interface.completions, request=request)
        completion_format = CompletionFormat.of(request)
        return self._render(
            run.resume(point), ticket, completion_format, request_id, stream=True
        )

    def _call_service(self, prefix: str, request_id: str) -> bytes:
        configuration, organisation = self._authenticate()
        service = configuration.service_for_prefix(prefix)
        if service is None:
            raise RefusedError(refusals.not_found(f"/services/{prefix}"))
        times = self._interface.stop.times
        self._check_time(service.timeout_ms, lambda: times.answer_s(service.id))
        request = ServiceRequest(
            request_id=request_id,
            organisation=organisation,
            service=service,
            pool=configuration.endpoint_pools_by_id[service.pool],
            call=self._build_service_call(prefix, organisation, request_id),
            idempotency_key=_idempotency_key(),
        )
        ticket = self._admit(organisation=organisation, tokens=0, priority=0)
        try:
            run = ServiceRun(context=self._interface.services, request=request)
            response = _value_or_raise(run.run())
        finally:
            self._release(ticket)
        cherrypy.response.status = response.status
        for name, value in response.headers.items():
            if name.lower() not in UNFORWARDED_HEADERS:
                cherrypy.response.headers[name] = value
        if response.status >= FIRST_ERROR_STATUS:
            # An error of the service itself promises nothing, whatever its status.
            cherrypy.response.headers[OUTCOME_HEADER] = Outcome.UNKNOWN.value
        self._count_request("services", response.status)
        return response.body

    def _build_service_call(
        self, prefix: str, organisation: str, request_id: str
    ) -> ServiceCall:
        request = cherrypy.request
        raw_path = request.wsgi_environ.get("REQUEST_URI", request.path_info)
        path = raw_path.split("?", 1)[0].removeprefix(f"/services/{prefix}") or "/"
        if request.query_string:
            path = f"{path}?{request.query_string}"
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in UNFORWARDED_HEADERS and name != "Remote-Addr"
        }
        headers["X-Organisation"] = organisation
        headers["X-Request-Id"] = request_id
        return ServiceCall(
            method=request.method, path=path, headers=headers, body=self._body.read()
        )

    def _authenticate(self) -> tuple[Configuration, str]:
        configuration = self._interface.configuration()
        if configuration.revision == 0:
            raise RefusedError(refusals.starting())
        scheme, _, secret = cherrypy.request.headers.get("Authorization", "").partition(
            " "
        )
        organisation = None
        if scheme.lower() == "bearer" and secret:
            organisation = configuration.organisation_id_for_key(secret.strip())
        if organisation is None:
            raise RefusedError(refusals.unauthorised())
        return configuration, organisation

    def _check_time(
        self, allowed_ms: float, expected_s: Callable[[], float | None]
    ) -> None:
        """Refuse the request if the node stops before it could be answered.

        Args:
            allowed_ms: Time after which its caller gives up.
            expected_s: Returns the seconds that its answer may take, None if unknown.
        """
        if not self._interface.stop.leaves_time(allowed_ms / 1000, expected_s):
            raise RefusedError(draining_refusal())

    def _admit(
        self,
        *,
        organisation: str,
        tokens: int,
        priority: int,
        fingerprint: str | None = None,
    ) -> Ticket:
        return _value_or_raise(
            self._dispatcher.ask(
                Dispatcher.Admit(
                    organisation=organisation,
                    tokens=tokens,
                    priority=priority,
                    fingerprint=fingerprint,
                )
            )
        )

    def _release(self, ticket: Ticket) -> None:
        self._dispatcher.tell(Dispatcher.Release(ticket=ticket))

    def _refuse(self, refusal: Refusal, request_id: str) -> bytes:
        cherrypy.response.status = refusal.status
        cherrypy.response.headers.update(problem_headers(refusal))
        # The rest of a refused body is not read, so the connection can't be reused.
        cherrypy.response.headers["Connection"] = "close"
        self._count_refusal(refusal)
        return problem_body(refusal, request_id)

    def _count_refusal(self, refusal: Refusal) -> None:
        self._metrics.refusals.inc(
            {"title": refusal.title, "outcome": refusal.outcome.value}
        )

    def _count_request(self, route: str, status: int) -> None:
        self._metrics.requests.inc({"route": route, "status": str(status)})

    def _text_response(self, body: bytes) -> bytes:
        cherrypy.response.headers["Content-Type"] = "text/plain"
        return body

    def _json_response(self, document: Any) -> bytes:
        cherrypy.response.headers["Content-Type"] = "application/json"
        return json.dumps(document).encode()


def callers_application(interface: CallersInterface) -> cherrypy.Application:
    """Return the WSGI application of the callers' port."""
    config = {
        "/": {
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "error_page.default": _error_page,
            "tools.encode.on": False,
        }
    }
    application = cherrypy.Application(
        CallersRoot(interface=interface), "", config=config
    )
    # Requests are counted in the metrics; the log holds changes of state only.
    application.log.access_log.disabled = True
    return application


def _value_or_raise(result: Result[Any, Refusal]) -> Any:
    if isinstance(result, Ok):
        return result.ok_value
    raise RefusedError(result.err_value)


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    del traceback, version
    code = int(status.split()[0])
    refusal = Refusal(
        status=code,
        title="bad-request" if code < 500 else "internal-error",
        detail=message or status,
        # An internal error may have occurred after the request was sent.
        outcome=Outcome.NOT_RUN if code < 500 else Outcome.UNKNOWN,
        step="http",
    )
    cherrypy.response.headers.update(problem_headers(refusal))
    return problem_body(refusal, "")


def _idempotency_key() -> str | None:
    key = cherrypy.request.headers.get("Idempotency-Key")
    if key is None:
        return None
    if not 1 <= len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise RefusedError(refusals.bad_idempotency_key(MAX_IDEMPOTENCY_KEY_CHARACTERS))
    return key
