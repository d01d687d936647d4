"""Tests of ``crocuswickctl`` against an operators' port and a fake log service."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import attrs
import urllib3

from crocuswick.configuration import ConfigurationStore
from crocuswick.http_server import HttpServer
from crocuswick.operators import AdminProviders, ExitCode, admin_application
from crocuswick.time_line import TimeLine
from tests.configuration.sets import organisation, small_objects
from tests.fakes.launcher import REPOSITORY, Launcher

SECRET = "operators-key-for-tests"


@attrs.frozen(kw_only=True)
class ReportedNode:
    """State of a node as the fake provider reports it."""

    node_id: str
    liveness: str = "live"
    configuration_revision: int = 0


class CtlTestCase(unittest.TestCase):
    def setUp(self):
        self.launcher = Launcher()
        self.addCleanup(self.launcher.close)
        self.log = self.launcher.fake("log_service")
        self.configuration_store = ConfigurationStore(
            log_address=self.log.address, on_change=lambda configuration: None
        )
        self.configuration_store.start()
        self.addCleanup(self.configuration_store.stop)
        self.time_line = TimeLine(node_id="node-1")
        self.unconfirmed_nodes = []
        self.drained = []
        self.server = self._server()
        self.server.start()
        self.addCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "key").write_text(SECRET)

    def _server(self):
        providers = AdminProviders(
            configuration=lambda: self.configuration_store.current,
            submit=lambda wanted, submission_id, author: (
                self.configuration_store.submit(
                    wanted, submission_id=submission_id, author=author, timeout_ms=1500
                )
            ),
            nodes=self._nodes,
            endpoints=lambda: [],
            explain=lambda request_id: [
                event for event in self.time_line.since() if event.subject == request_id
            ],
            time_line=lambda: self.time_line.since(),
            drain=lambda: self.drained.append(True),
            secret=lambda: SECRET.encode(),
            recover=lambda wanted: self.configuration_store.recover(wanted),
        )
        return HttpServer(
            host="127.0.0.1",
            port=0,
            application=admin_application(providers),
            threads=4,
        )

    def _nodes(self):
        revision = self.configuration_store.current.revision
        node = ReportedNode(node_id="node-1", configuration_revision=revision)
        return [node, *self.unconfirmed_nodes]

    def ctl(self, *arguments, key="key"):
        command = [
            sys.executable,
            "-m",
            "crocuswick.operators.ctl",
            f"--node={self.server.address}",
            f"--key_file={self.folder / key}",
            "--wait_s=0.3",
            *arguments,
        ]
        return subprocess.run(
            command, cwd=REPOSITORY, capture_output=True, text=True, timeout=30
        )

    def set_file(self, base_revision, objects):
        path = self.folder / f"set-{base_revision}-{len(objects)}.jsonc"
        document = {"base_revision": base_revision, "objects": objects}
        path.write_text("// A set.\n" + json.dumps(document, indent=1))
        return str(path)


class ApplyTests(CtlTestCase):
    def test_apply_get_diff(self):
        path = self.set_file(0, small_objects())
        applied = self.ctl("apply", path)
        self.assertEqual(applied.returncode, ExitCode.OK, applied.stderr)
        self.assertIn("Accepted as revision 1", applied.stdout)
        shown = json.loads(self.ctl("get").stdout)
        self.assertEqual(shown["base_revision"], 1)
        self.assertEqual(len(shown["objects"]), len(small_objects()))
        self.assertEqual(self.ctl("diff", path).returncode, ExitCode.OK)
        changed = [organisation(1, title="Tents"), organisation(2)]
        other = self.set_file(1, changed)
        difference = self.ctl("diff", other)
        self.assertEqual(difference.returncode, ExitCode.FAULTY)
        self.assertIn("+ organisation org-2", difference.stdout)
        self.assertIn("title:  -> Tents", difference.stdout)
        self.assertIn("- key key-1", difference.stdout)
        self.assertNotIn("\x1b", difference.stdout)

    def test_repeated_apply_has_one_effect(self):
        self.log.set_faults(lose_next_answers=1)
        path = self.set_file(0, small_objects())
        first, second = self.ctl("--json", "apply", path), self.ctl("apply", path)
        self.assertEqual(json.loads(first.stdout)["verdict"]["revision"], 1)
        self.assertEqual(second.returncode, ExitCode.OK)
        self.assertEqual(self.configuration_store.current.revision, 1)

    def test_conflict_names_the_winning_revision(self):
        self.ctl("apply", self.set_file(0, small_objects()))
        lost = self.ctl("apply", self.set_file(0, [organisation(7)]))
        self.assertEqual(lost.returncode, ExitCode.LOST)
        self.assertIn("revision 1 is in force, made by", lost.stderr)

    def test_faulty_set_lists_every_fault_by_line_and_is_not_submitted(self):
        objects = small_objects()
        objects[4]["pool"] = "engine"
        objects[6]["organisation"] = "org-2"
        objects[7]["sha25"] = objects[7].pop("sha256")
        path = self.set_file(0, objects)
        result = self.ctl("apply", path)
        self.assertEqual(result.returncode, ExitCode.FAULTY)
        for text in ("did you mean 'engines'", "'org-2'", "did you mean 'sha256'"):
            self.assertRegex(result.stderr, rf"line \d+: .*{text}")
        self.assertEqual(self.configuration_store.current.revision, 0)

    def test_unconfirmed_node_is_named(self):
        self.unconfirmed_nodes.append(ReportedNode(node_id="node-9"))
        result = self.ctl("apply", self.set_file(0, small_objects()))
        self.assertEqual(result.returncode, ExitCode.NOT_EVERYWHERE)
        self.assertIn("node-9", result.stderr)

    def test_recovery_is_refused_while_a_configuration_exists(self):
        path = self.set_file(0, small_objects())
        result = self.ctl("recover", path)
        self.assertEqual(result.returncode, ExitCode.UNREACHABLE)
        self.assertIn("knows a configuration", result.stderr)

    def test_unavailable_log_gives_outcome_not_run(self):
        self.log.kill()
        result = self.ctl("apply", self.set_file(0, small_objects()))
        self.assertEqual(result.returncode, ExitCode.UNREACHABLE)
        self.assertIn("not_run", result.stderr)


class OtherCommandTests(CtlTestCase):
    def test_wrong_key_is_rejected(self):
        (self.folder / "wrong").write_text("wrong")
        for command in ("get", "nodes", "timeline", "drain"):
            result = self.ctl(command, key="wrong")
            self.assertEqual(result.returncode, ExitCode.UNAUTHORISED)
            self.assertEqual(result.stdout, "")
        self.assertEqual(self.drained, [])

    def test_nodes_events_and_drain(self):
        cause = self.time_line.record(kind="request_began", subject="r1")
        self.time_line.record(kind="request_ended", subject="r1", cause=cause)
        self.assertIn("node-1", self.ctl("nodes").stdout)
        explained = self.ctl("explain", "r1").stdout.splitlines()
        self.assertEqual(len(explained), 2)
        self.assertIn(f"[after {cause}]", explained[1])
        self.assertEqual(self.ctl("explain", "r2").returncode, ExitCode.FAULTY)
        picture = self.folder / "timeline.html"
        shown = json.loads(
            self.ctl("timeline", "--json", f"--picture={picture}").stdout
        )
        self.assertEqual(len(shown["events"]), 2)
        self.assertIn("<svg", picture.read_text())
        self.assertEqual(self.ctl("drain").returncode, ExitCode.OK)
        self.assertEqual(self.drained, [True])

    def test_a_request_is_explained_from_logs_without_a_node(self):
        line = '{"t": 1, "node": "n", "event": "request ended", "request": "r9", '
        line += '"outcome": "caller left", "ms": 12}\n'
        (self.folder / "n.log").write_text(line)
        result = self.ctl(
            f"--log={self.folder / 'n.log'}", "explain", "r9", key="wrong"
        )
        self.assertEqual(result.returncode, ExitCode.OK)
        self.assertIn("closed its connection after 12 ms", result.stdout)
        result = self.ctl(f"--log={self.folder / 'n.log'}", "explain", "r8")
        self.assertEqual(result.returncode, ExitCode.FAULTY)
        result = self.ctl("--log=/nowhere.log", "explain", "r9")
        self.assertEqual(result.returncode, ExitCode.USAGE)

    def test_usage_errors(self):
        for arguments in (("nope",), (), ("apply",), ("--nope", "get")):
            with self.subTest(arguments=arguments):
                self.assertEqual(self.ctl(*arguments).returncode, ExitCode.USAGE)

    def test_bad_bodies_get_4xx(self):
        cases = {
            b"{": 400,
            b"[]": 400,
            b"[" * 100_000: 400,
            b'{"submission_id": 1}': 400,
            json.dumps(
                {
                    "submission_id": "s",
                    "author": "a",
                    "base_revision": 0,
                    "objects": [{"kind": "nope"}],
                }
            ).encode(): 422,
        }
        url = f"http://{self.server.address}/v1/configuration"
        headers = {"Authorization": f"Bearer {SECRET}"}
        for body, status in cases.items():
            with self.subTest(body=body[:30]):
                response = urllib3.request("POST", url, body=body, headers=headers)
                self.assertEqual(response.status, status, response.data)


if __name__ == "__main__":
    unittest.main()
