"""Tests of settings and of the faults reported with their path and line."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import attrs

from crocuswick.settings import Settings, load_settings, parse_settings

REPOSITORY = Path(__file__).resolve().parent.parent
SECTION = "crocuswick_section"

VALID_SETTINGS = """{
  // A node of Swanfold.
  "node_id": "perth-a-1",
  "zone": "perth-a",
  "region": "wa-south",
  "callers": {"host": "127.0.0.1", "port": 8080},
  "operators": {"host": "127.0.0.1", "port": 8081, "key_file": "operator.key"},
  "nodes": {"host": "127.0.0.1", "port": 8082, "key_file": "node.key"},
  "platform_log": {"address": "127.0.0.1:9000"}
}
"""


class SettingsTests(unittest.TestCase):
    def faults(self, text: str) -> list[str]:
        return [str(fault) for fault in parse_settings(text).err_value]

    def test_missing_settings_get_defaults(self):
        settings = parse_settings(VALID_SETTINGS).ok_value
        self.assertEqual(settings.callers.max_in_flight, 96)
        self.assertEqual(settings.vm_list.address, "")

    def test_all_faults_are_reported_at_once(self):
        text = (
            VALID_SETTINGS.replace('"port": 8080', '"prot": 8080')
            .replace('"zone": "perth-a",', '"zone": 7,')
            .replace('"port": 8082', '"port": 70000')
        )
        self.assertEqual(
            self.faults(text),
            [
                "line 4: zone: must be a string",
                "line 6: callers.port: is missing",
                "line 6: callers.prot: unknown setting; did you mean 'port'?",
                "line 8: nodes.port: must be from 0 to 65535 port",
            ],
        )

    def test_ports_must_differ(self):
        faults = self.faults(VALID_SETTINGS.replace("8081", "8080"))
        self.assertEqual(
            faults, ["line 7: operators.port: must differ from callers.port"]
        )

    def test_a_syntax_error_names_its_line(self):
        self.assertTrue(self.faults('{\n  "node_id": \n}')[0].startswith("line 3"))

    def test_missing_key_files_are_named_with_their_lines(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.jsonc"
            path.write_text(VALID_SETTINGS)
            faults = [str(fault) for fault in load_settings(path).err_value]
        self.assertTrue(faults[0].startswith("line 7: operators.key_file"), faults)
        self.assertTrue(faults[1].startswith("line 8: nodes.key_file"), faults)

    def test_tls_needs_both_files(self):
        text = VALID_SETTINGS.replace(
            '"port": 8080', '"port": 8080, "tls_certificate_file": "a.pem"'
        )
        self.assertIn("must be set together", self.faults(text)[0])


class DocumentedSettingsTests(unittest.TestCase):
    def test_the_reference_lists_every_setting_with_its_default(self):
        page = (REPOSITORY / "docs/reference/settings.md").read_text()
        for path, default in setting_defaults(Settings):
            self.assertIn(f"| `{path}` | {default} |", page)

    def test_the_sample_files_are_valid(self):
        for name in ("node-swanfold", "node-umurava"):
            text = (REPOSITORY / f"samples/{name}.jsonc").read_text()
            self.assertTrue(parse_settings(text).is_ok(), name)


def setting_defaults(settings_type: type, prefix: str = "") -> list[tuple[str, str]]:
    found = []
    for field in attrs.fields(settings_type):
        path = f"{prefix}{field.name}"
        section = field.metadata.get(SECTION)
        if section is not None:
            found += setting_defaults(section, f"{path}.")
        elif field.default is attrs.NOTHING:
            found.append((path, "required"))
        else:
            found.append(
                (
                    path,
                    {"": '`""`', (): "`[]`"}.get(field.default) or f"`{field.default}`",
                )
            )
    return found
