"""Fake of the platform's list of VMs.

Fault settings (`VmListFaults`): those of `CallFaults`, and ``lag_ms``, the time
until a change of the list becomes visible.

``POST /control/vms`` ``{"vms": [...]}`` replaces the list, and
``POST /control/vms/{id}`` ``{"state": ...}`` changes one VM.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import attrs
from absl import app, flags

from crocuswick.actor import Message
from tests.fakes.control import CallFaults, Controlled
from tests.fakes.http_service import Reply, Request, Routes, serve, wall_ms
from tests.fakes.task import Task

__all__ = ["VmList", "VmListFaults"]

VMS_FLAG = flags.DEFINE_string("vms", "", "File with the initial list, a JSON array.")


@attrs.frozen(kw_only=True)
class VmListFaults(CallFaults):
    """Fault settings of the VM list."""

    lag_ms: int = 0


@attrs.frozen(kw_only=True)
class ListVersion:
    """A version of the list, with the time of its change."""

    revision: int
    since_s: float
    """Monotonic time of the change, which the visibility lag counts from."""

    time_ms: int
    """Wall clock time of the change, for the history."""

    vms: list[dict[str, Any]]

    def as_body(self) -> dict[str, Any]:
        """Return the response body."""
        return {"revision": self.revision, "vms": self.vms}


@attrs.frozen(kw_only=True)
class SetList(Message):
    """Command to replace the list."""

    vms: list[dict[str, Any]]


@attrs.frozen(kw_only=True)
class ChangeVm(Message):
    """Command to change fields of one VM."""

    vm_id: str
    changes: dict[str, Any]


@attrs.frozen(kw_only=True)
class CopyVersions(Message):
    """Query for a copy of all versions of the list."""


class ListTask(Task):
    """The task that owns the versions of the list."""

    def __init__(self, *, vms: list[dict[str, Any]]):
        super().__init__(name="vm-list")
        # The initial list is visible at once, whatever the lag.
        self._versions = [self._version(vms, revision=1, since_s=0.0)]

    def on_set_list(self, message: SetList) -> int:
        """Replace the list and return its revision."""
        revision = len(self._versions) + 1
        since_s = time.monotonic()
        version = self._version(message.vms, revision=revision, since_s=since_s)
        self._versions.append(version)
        return revision

    def on_change_vm(self, message: ChangeVm) -> int:
        """Change one VM and return the list's revision."""
        vms = [
            {**vm, **message.changes} if vm["id"] == message.vm_id else vm
            for vm in self._versions[-1].vms
        ]
        return self.on_set_list(SetList(vms=vms))

    def on_copy_versions(self, message: CopyVersions) -> list[ListVersion]:
        """Copy all versions."""
        return list(self._versions)

    @staticmethod
    def _version(
        vms: list[dict[str, Any]], *, revision: int, since_s: float
    ) -> ListVersion:
        return ListVersion(
            revision=revision, since_s=since_s, time_ms=wall_ms(), vms=vms
        )


class VmList(Controlled):
    """HTTP interface of the VM list."""

    routes = Routes()

    def __init__(self, *, faults: VmListFaults, task: ListTask):
        super().__init__(faults=faults)
        self._task = task

    def history(self) -> Any:
        """Return all versions of the list."""
        versions = self._task.ask(CopyVersions())
        return {"versions": [attrs.asdict(version) for version in versions]}

    @routes.route("GET", "/v1/vms")
    def get_vms(self, request: Request) -> Reply:
        """Return the newest version that is visible with the configured lag."""
        limit_s = time.monotonic() - self.faults.lag_ms / 1000
        versions = self._task.ask(CopyVersions())
        visible = [item for item in versions if item.since_s <= limit_s]
        return Reply(body=visible[-1].as_body())

    @routes.route("POST", "/control/vms")
    def set_vms(self, request: Request) -> Reply:
        """Replace the list."""
        vms = request.json()["vms"]
        return Reply(body={"revision": self._task.ask(SetList(vms=vms))})

    @routes.route("POST", "/control/vms/{vm_id}")
    def change_vm(self, request: Request, vm_id: str) -> Reply:
        """Change one VM."""
        message = ChangeVm(vm_id=vm_id, changes=request.json())
        return Reply(body={"revision": self._task.ask(message)})


def main(argv: list[str]) -> None:
    """Run the fake."""
    vms = json.loads(Path(VMS_FLAG.value).read_text()) if VMS_FLAG.value else []
    task = ListTask(vms=vms)
    task.start()
    serve(VmList(faults=VmListFaults(), task=task).answer)


if __name__ == "__main__":
    app.run(main)
