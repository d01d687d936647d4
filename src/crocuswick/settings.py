"""Settings of one node, read from a file of JSON with comments."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from crocuswick import _setting_fields as fields
from crocuswick import jsonc
from crocuswick._setting_fields import SettingFault

if TYPE_CHECKING:
    from pathlib import Path

__all__ = [
    "CallersSettings",
    "NodesSettings",
    "OperatorsSettings",
    "Settings",
    "SettingsFault",
    "load_settings",
    "parse_settings",
]

MAX_PORT = 65535
MIN_SECRET_BYTES = 16
SECTIONS_WITH_KEY_FILE = ("operators", "nodes")


@attrs.frozen(kw_only=True)
class CallersSettings:
    """The port for callers."""

    host: str = fields.host()
    """IP number to listen at."""

    port: int = fields.integer(low=0, high=MAX_PORT, unit="port")
    """Port to listen at, 0 for any free one."""

    max_in_flight: int = fields.integer(low=1, high=4096, unit="requests", default=96)
    """Requests served at once; more are refused."""

    refusal_threads: int = fields.integer(low=1, high=512, unit="threads", default=24)
    """Threads beyond `max_in_flight` that serve refusals and health pages."""

    max_body_bytes: int = fields.integer(
        low=1024, high=1 << 28, unit="bytes", default=8 << 20
    )
    """Largest request body."""

    max_buffered_bytes: int = fields.integer(
        low=1024, high=1 << 36, unit="bytes", default=128 << 20
    )
    """Bytes of request bodies held at once; further requests are refused."""

    idle_timeout_ms: int = fields.integer(
        low=100, high=600_000, unit="ms", default=10_000
    )
    """Time without a byte after which a caller's connection is closed."""

    tls_certificate_file: str = fields.text(default="")
    """Certificate chain in PEM, empty for plain HTTP."""

    tls_key_file: str = fields.text(default="")
    """Private key in PEM."""


@attrs.frozen(kw_only=True)
class OperatorsSettings:
    """The port for operators."""

    host: str = fields.host()
    """IP number to listen at."""

    port: int = fields.integer(low=0, high=MAX_PORT, unit="port")
    """Port to listen at, 0 for any free one."""

    key_file: str = fields.text()
    """File with the operators' secret."""


@attrs.frozen(kw_only=True)
class NodesSettings:
    """The ports for other nodes."""

    host: str = fields.host()
    """IP number to listen at and to announce."""

    port: int = fields.integer(low=0, high=MAX_PORT, unit="port")
    """UDP port for heartbeats and TCP port for requests of other nodes."""

    seeds: tuple[str, ...] = fields.texts()
    """``host:port`` of the node ports of nodes to begin with."""

    key_file: str = fields.text()
    """File with the secret that all nodes share."""


@attrs.frozen(kw_only=True)
class PlatformLogSettings:
    """The platform's log service."""

    address: str = fields.text()
    """``host:port``."""

    timeout_ms: int = fields.integer(low=10, high=60_000, unit="ms", default=1000)
    """Longest wait for an answer."""


@attrs.frozen(kw_only=True)
class VmListSettings:
    """The platform's list of VMs."""

    address: str = fields.text(default="")
    """``host:port``, empty if there is none."""

    poll_interval_ms: int = fields.integer(
        low=100, high=600_000, unit="ms", default=1000
    )
    """Time between two reads."""


@attrs.frozen(kw_only=True)
class EndpointsSettings:
    """How endpoints are called."""

    progress_timeout_ms: int = fields.integer(
        low=50, high=60_000, unit="ms", default=2000
    )
    """Time without a byte after which a stream is resumed on a new connection."""

    placement: str = fields.text(default="current")
    """Name of the placement policy."""


@attrs.frozen(kw_only=True)
class ShutdownSettings:
    """How the node shuts down."""

    hard_deadline_ms: int = fields.integer(
        low=0, high=3_600_000, unit="ms", default=600_000
    )
    """Time after which requests still in flight are cut."""


@attrs.frozen(kw_only=True)
class TimeLineSettings:
    """The record of events."""

    capacity: int = fields.integer(low=16, high=1 << 20, unit="events", default=4096)
    """Events kept."""

    clock_error_ms: int = fields.integer(low=0, high=60_000, unit="ms", default=50)
    """Bound of the wall clock's error."""


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of a node."""

    node_id: str = fields.text()
    """Id of the node, unique in the deployment."""

    zone: str = fields.text()
    """Availability zone of the node's VM."""

    region: str = fields.text()
    """Region of the zone."""

    log_level: str = fields.text(
        default="info", choices=("debug", "info", "warning", "error")
    )
    """Least severe level that is logged."""

    callers: CallersSettings = fields.section(CallersSettings)
    operators: OperatorsSettings = fields.section(OperatorsSettings)
    nodes: NodesSettings = fields.section(NodesSettings)
    platform_log: PlatformLogSettings = fields.section(PlatformLogSettings)
    vm_list: VmListSettings = fields.section(VmListSettings, required=False)
    endpoints: EndpointsSettings = fields.section(EndpointsSettings, required=False)
    shutdown: ShutdownSettings = fields.section(ShutdownSettings, required=False)
    time_line: TimeLineSettings = fields.section(TimeLineSettings, required=False)


@attrs.frozen(kw_only=True)
class SettingsFault:
    """A fault in a settings file."""

    line: int
    """Line of the fault, from 1."""

    path: str
    """Dotted path of the setting, empty for the whole file."""

    message: str
    """What is wrong, for people."""

    def __str__(self) -> str:
        return f"line {self.line}: {self.path or 'settings'}: {self.message}"


def parse_settings(source: str) -> Result[Settings, list[SettingsFault]]:
    """Parse and check settings.

    Args:
        source: Text of a settings file.

    Returns:
        The settings, or every fault found, in order of lines.
    """
    parsed = jsonc.parse(source)
    if parsed.is_err():
        error = parsed.err_value
        return Err([SettingsFault(line=error.line, path="", message=error.message)])
    document = parsed.ok_value
    faults: list[SettingFault] = []
    settings = fields.structure(Settings, document.value, (), faults)
    if settings is not None:
        faults += _relations(settings)
    if faults:
        return Err(_located(faults, document))
    return Ok(settings)


def load_settings(path: Path) -> Result[Settings, list[SettingsFault]]:
    """Read, parse and check a settings file and the key files that it names.

    Args:
        path: The file; relative names in it are taken from its folder.
    """
    try:
        source = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err([SettingsFault(line=1, path="", message=str(error))])
    return parse_settings(source).and_then(
        lambda settings: _with_files(settings, path.parent, source)
    )


def _located(
    faults: list[SettingFault], document: jsonc.JsoncDocument
) -> list[SettingsFault]:
    located = [
        SettingsFault(
            line=document.line_of(fault.path),
            path=".".join(fault.path),
            message=fault.message,
        )
        for fault in faults
    ]
    return sorted(located, key=lambda fault: (fault.line, fault.path))


def _relations(settings: Settings) -> list[SettingFault]:
    faults = []
    callers = settings.callers
    if bool(callers.tls_certificate_file) != bool(callers.tls_key_file):
        faults.append(
            SettingFault(
                path=("callers", "tls_key_file"),
                message="must be set together with tls_certificate_file",
            )
        )
    if callers.max_buffered_bytes < callers.max_body_bytes:
        faults.append(
            SettingFault(
                path=("callers", "max_buffered_bytes"),
                message="must be at least max_body_bytes",
            )
        )
    ports = {
        ("callers", "port"): callers.port,
        ("operators", "port"): settings.operators.port,
        ("nodes", "port"): settings.nodes.port,
    }
    taken: dict[int, tuple[str, ...]] = {}
    for path, port in ports.items():
        if port and port in taken:
            other = ".".join(taken[port])
            faults.append(SettingFault(path=path, message=f"is also {other}"))
        taken.setdefault(port, path)
    return faults


def _with_files(
    settings: Settings, folder: Path, source: str
) -> Result[Settings, list[SettingsFault]]:
    faults = []
    resolved: dict[str, Any] = {}
    for section in SECTIONS_WITH_KEY_FILE:
        part = getattr(settings, section)
        path = folder / part.key_file
        resolved[section] = attrs.evolve(part, key_file=str(path))
        if (message := _secret_fault(path)) is not None:
            faults.append(SettingFault(path=(section, "key_file"), message=message))
    if faults:
        return Err(_located(faults, jsonc.parse(source).ok_value))
    return Ok(attrs.evolve(settings, **resolved))


def _secret_fault(path: Path) -> str | None:
    try:
        length = len(path.read_bytes().strip())
    except OSError as error:
        return str(error)
    if length < MIN_SECRET_BYTES:
        return f"{path} must hold at least {MIN_SECRET_BYTES} bytes"
    return None
