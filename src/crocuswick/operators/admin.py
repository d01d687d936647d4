"""The operators' port: configuration, nodes, endpoints, time line, drain."""

from __future__ import annotations

import hmac
import json
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import cattrs
import cherrypy
from result import Err, Ok, Result

from crocuswick.configuration import (
    Configuration,
    Fault,
    ObjectSet,
    Verdict,
    VerdictKind,
    check_objects,
    to_record,
)
from crocuswick.errors import PeerError
from crocuswick.outcome import Outcome
from crocuswick.time_line import TimeLineEvent

__all__ = ["AdminProviders", "admin_application"]

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_NAME_CHARACTERS = 128
"""Maximum length of a submission id and of an author's name."""


@attrs.frozen(kw_only=True)
class AdminProviders:
    """Callbacks through which the operators' port accesses its node."""

    configuration: Callable[[], Configuration]
    """Returns the configuration in force."""

    submit: Callable[[ObjectSet, str, str], Result[Verdict, PeerError]]
    """Submits a set with a submission id and the author's name."""

    nodes: Callable[[], Sequence[Any]]
    """Returns the state of each node as known to this node, as attrs objects."""

    endpoints: Callable[[], Sequence[Any]]
    """Returns the state of each endpoint as known to this node, as attrs objects."""

    explain: Callable[[str], Sequence[TimeLineEvent]]
    """Returns the events of a request on all nodes."""

    time_line: Callable[[], Sequence[TimeLineEvent]]
    """Returns the events of all nodes."""

    drain: Callable[[], None]
    """Takes the node out of service; requests in flight finish."""

    secret: Callable[[], bytes]
    """Returns the operators' key."""

    recover: Callable[[ObjectSet], Result[int, PeerError]] | None = None
    """Starts a new configuration history from a set, None if not supported."""


@attrs.frozen(kw_only=True)
class _Problem:
    """An error response to an operator's request."""

    status: int
    title: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    faults: tuple[Fault, ...] = ()


@attrs.frozen(kw_only=True)
class _Submission:
    """A submission received over HTTP, with validated objects."""

    submission_id: str
    author: str
    wanted: ObjectSet


class _AdminRoot:
    """The CherryPy root object of the operators' port."""

    def __init__(self, *, providers: AdminProviders):
        self._providers = providers
        self._handlers_by_route: dict[tuple[str, str], Callable[[], Any]] = {
            ("GET", "configuration"): self._get_configuration,
            ("POST", "configuration"): self._submit,
            ("GET", "nodes"): lambda: {"nodes": _to_plain(providers.nodes())},
            ("GET", "endpoints"): lambda: {
                "endpoints": _to_plain(providers.endpoints())
            },
            ("GET", "timeline"): lambda: {"events": _to_plain(providers.time_line())},
            ("POST", "drain"): self._drain,
            ("POST", "recovery"): self._recover,
        }

    @cherrypy.expose
    def default(self, *path: str, **_query: str) -> bytes:
        """Handle requests for every path."""
        if not self._is_authorised():
            problem = _Problem(
                status=401,
                title="unauthorised",
                detail="the operators' key is missing or wrong",
            )
            return _respond(problem)
        return _respond(self._route(path))

    def _route(self, path: tuple[str, ...]) -> Any:
        method = cherrypy.request.method
        if method == "GET" and path[:2] == ("v1", "requests") and len(path) == 3:
            return self._explain(path[2])
        if len(path) != 2 or path[0] != "v1":
            return _not_found("no such path")
        handler = self._handlers_by_route.get((method, path[1]))
        if handler is not None:
            return handler()
        if any(name == path[1] for _, name in self._handlers_by_route):
            return _Problem(
                status=405,
                title="method-not-allowed",
                detail=f"{method} is not supported here",
            )
        return _not_found("no such path")

    def _is_authorised(self) -> bool:
        authorization = cherrypy.request.headers.get("Authorization", "")
        scheme, _, token = authorization.partition(" ")
        secret = self._providers.secret()
        matches = hmac.compare_digest(token.strip().encode(), secret)
        return bool(secret) and scheme.lower() == "bearer" and matches

    def _get_configuration(self) -> dict[str, Any]:
        configuration = self._providers.configuration()
        return {
            "revision": configuration.revision,
            "objects": [to_record(item) for item in configuration.objects()],
        }

    def _submit(self) -> Any:
        read = _read_submission()
        if read.is_err():
            return read.unwrap_err()
        submission = read.unwrap()
        result = self._providers.submit(
            submission.wanted, submission.submission_id, submission.author
        )
        if result.is_err():
            return _log_unavailable(result.unwrap_err())
        verdict = result.unwrap()
        if verdict.kind is VerdictKind.CONFLICT:
            cherrypy.response.status = 409
        if verdict.kind is VerdictKind.FAULTY:
            cherrypy.response.status = 422
        return {"verdict": _to_plain(verdict)}

    def _recover(self) -> Any:
        read = _read_submission()
        if read.is_err():
            return read.unwrap_err()
        if self._providers.recover is None:
            return _not_found("this node does not support recovery")
        result = self._providers.recover(read.unwrap().wanted)
        if result.is_err():
            return _log_unavailable(result.unwrap_err())
        return {"revision": result.unwrap()}

    def _explain(self, request_id: str) -> Any:
        events = self._providers.explain(request_id)
        if not events:
            return _not_found(f"no node knows a request {request_id!r}")
        return {"events": _to_plain(events)}

    def _drain(self) -> dict[str, Any]:
        self._providers.drain()
        return {"draining": True}


def admin_application(providers: AdminProviders) -> cherrypy.Application:
    """Return the WSGI application of the operators' port.

    Args:
        providers: Callbacks of the node.
    """
    config = {
        "/": {
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "tools.encode.on": False,
        }
    }
    application = cherrypy.Application(
        _AdminRoot(providers=providers), "", config=config
    )
    application.log.access_log.disabled = True
    return application


def _read_submission() -> Result[_Submission, _Problem]:
    body = _read_json()
    if body.is_err():
        return body
    value = body.unwrap()
    for field, is_valid in _SUBMISSION_FIELDS.items():
        if not is_valid(value.get(field)):
            return Err(_bad_request(f"the field {field!r} is missing or malformed"))
    checked = check_objects(value["objects"])
    if checked.is_err():
        return Err(
            _Problem(
                status=422,
                title="faulty-set",
                detail="the set has faults and was not submitted",
                faults=tuple(checked.unwrap_err()),
            )
        )
    wanted = ObjectSet(base_revision=value["base_revision"], objects=checked.unwrap())
    return Ok(
        _Submission(
            submission_id=value["submission_id"], author=value["author"], wanted=wanted
        )
    )


def _is_short_string(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARACTERS


_SUBMISSION_FIELDS: dict[str, Callable[[Any], bool]] = {
    "submission_id": _is_short_string,
    "author": _is_short_string,
    "base_revision": lambda value: type(value) is int and value >= 0,
    "objects": lambda value: isinstance(value, list),
}


def _read_json() -> Result[dict[str, Any], _Problem]:
    length = cherrypy.request.headers.get("Content-Length", "")
    if not length.isdigit():
        return Err(
            _Problem(status=411, title="length-required", detail="no Content-Length")
        )
    if int(length) > MAX_BODY_BYTES:
        detail = f"the body exceeds {MAX_BODY_BYTES} bytes"
        return Err(_Problem(status=413, title="body-too-large", detail=detail))
    try:
        value = json.loads(cherrypy.request.rfile.read(int(length)))
    except (ValueError, RecursionError) as error:
        return Err(_bad_request(f"the body is not JSON: {error}"))
    if not isinstance(value, dict):
        return Err(_bad_request("the body is not a JSON object"))
    return Ok(value)


def _bad_request(detail: str) -> _Problem:
    return _Problem(status=400, title="bad-request", detail=detail)


def _not_found(detail: str) -> _Problem:
    return _Problem(status=404, title="not-found", detail=detail)


def _log_unavailable(error: PeerError) -> _Problem:
    return _Problem(
        status=503,
        title="log-unavailable",
        detail=str(error),
        outcome=error.outcome,
    )


def _respond(body: Any) -> bytes:
    content_type = "application/json"
    if isinstance(body, _Problem):
        cherrypy.response.status = body.status
        content_type = "application/problem+json"
        # The rest of a refused body is not read, so the connection cannot be reused.
        cherrypy.response.headers["Connection"] = "close"
    cherrypy.response.headers["Content-Type"] = content_type
    return json.dumps(_to_plain(body)).encode()


def _to_plain(value: Any) -> Any:
    return cattrs.unstructure(value)
