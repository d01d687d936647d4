"""Operators that read the configuration from nodes and submit changes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
import urllib3

from tests.fleet import OPERATOR_SECRET
from tests.scenarios.history import ConfigurationObservation, Interval, Submission
from tests.scenarios.recorder import Recorder, now_s

if TYPE_CHECKING:
    from tests.scenarios.history import Record

__all__ = ["ConfigurationView", "Operator", "OperatorsPort", "observe_configuration"]

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
SUBMIT_TIMEOUT_S = 15.0
MAX_SUBMIT_ATTEMPTS = 4
MARKED_ORGANISATION = "swanfold"
"""Organisation whose title identifies a submission."""

REJECTED_STATUSES = (409, 422)


@attrs.frozen(kw_only=True)
class ConfigurationView:
    """A configuration as returned by a node."""

    revision: int
    objects: list[dict[str, Any]]

    @property
    def digest(self) -> str:
        """The title that identifies this content.

        Each submission sets a unique title of the marked organisation.
        """
        return self._marked["title"]

    def with_title(self, title: str) -> list[dict[str, Any]]:
        """Return the objects with a new title for the marked organisation."""
        marked = self._marked
        changed = {**marked, "title": title}
        return [changed if item is marked else item for item in self.objects]

    @property
    def _marked(self) -> dict[str, Any]:
        return next(
            item
            for item in self.objects
            if (item["kind"], item["id"]) == ("organisation", MARKED_ORGANISATION)
        )


class OperatorsPort:
    """Client of the operators' port of one node."""

    def __init__(self, *, node: str, address: str):
        self.node = node
        self._url = f"http://{address}/v1/configuration"
        self._headers = {
            "Authorization": f"Bearer {OPERATOR_SECRET}",
            "Content-Type": "application/json",
        }
        self._http = urllib3.PoolManager(retries=False, maxsize=1)

    def read(self) -> ConfigurationView | None:
        """Return the configuration in force; None if there is none or no answer."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        try:
            answer = self._http.request(
                "GET", self._url, headers=self._headers, timeout=timeout
            )
        except urllib3.exceptions.HTTPError:
            return None
        if answer.status != 200 or not answer.json()["revision"]:
            # A node that has just started has no configuration and serves no requests.
            return None
        return ConfigurationView(**answer.json())

    def submit(self, body: dict[str, Any]) -> urllib3.BaseHTTPResponse | None:
        """Submit a configuration; return the answer, or None if there was none."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=SUBMIT_TIMEOUT_S)
        try:
            return self._http.request(
                "POST",
                self._url,
                body=json.dumps(body).encode(),
                headers=self._headers,
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError:
            return None


@attrs.frozen(kw_only=True)
class _Verdict:
    """The verdict on a submission as far as its operator knows it."""

    accepted: bool | None
    revision: int | None = None


def _verdict_of(answer: urllib3.BaseHTTPResponse | None) -> _Verdict:
    if answer is None:
        return _Verdict(accepted=None)
    body = answer.json()
    if answer.status == 200:
        return _Verdict(accepted=True, revision=body["verdict"]["revision"])
    is_not_run = body.get("outcome") == "not_run"
    if answer.status in REJECTED_STATUSES or is_not_run:
        return _Verdict(accepted=False)
    return _Verdict(accepted=None)


class Operator:
    """Submits changes; repeats each submission until its verdict is known."""

    def __init__(self, *, name: str, recorder: Recorder):
        self._name = name
        self._recorder = recorder
        self._submitted = 0

    def change(self, ports: list[OperatorsPort]) -> None:
        """Submit one change of the configuration.

        Args:
            ports: Ports of the nodes. The base revision is read from the first
                that answers; repeats of the submission go to each in turn.
        """
        views = (port.read() for port in ports)
        base = next((view for view in views if view is not None), None)
        if base is None:
            return
        self._submitted += 1
        title = f"{self._name}-{self._submitted}"
        body = {
            "submission_id": title,
            "author": self._name,
            "base_revision": base.revision,
            "objects": base.with_title(title),
        }
        started_s = now_s()
        verdict = self._submit(ports, body)
        record = Submission(
            interval=Interval(start_s=started_s, end_s=now_s()),
            submitter=self._name,
            digest=title,
            accepted=verdict.accepted,
            revision=verdict.revision,
        )
        self._recorder.add(record)
        if verdict.accepted:
            self._recorder.increment("revisions")

    def _submit(self, ports: list[OperatorsPort], body: dict[str, Any]) -> _Verdict:
        verdict = _Verdict(accepted=None)
        for attempt in range(MAX_SUBMIT_ATTEMPTS):
            answer = ports[attempt % len(ports)].submit(body)
            repeated = _verdict_of(answer)
            if repeated.accepted is False and attempt and not _is_final(answer):
                # This repeat had no effect; an earlier attempt may still have had one.
                continue
            verdict = repeated
            if verdict.accepted is not None:
                break
        return verdict


def _is_final(answer: urllib3.BaseHTTPResponse | None) -> bool:
    """Return whether an answer gives the verdict on the submission itself."""
    return answer is not None and answer.status in REJECTED_STATUSES


def observe_configuration(port: OperatorsPort) -> Record | None:
    """Read a node's configuration; return its record, or None if unavailable."""
    started_s = now_s()
    view = port.read()
    if view is None:
        return None
    return ConfigurationObservation(
        interval=Interval(start_s=started_s, end_s=now_s()),
        node=port.node,
        revision=view.revision,
        digest=view.digest,
    )
