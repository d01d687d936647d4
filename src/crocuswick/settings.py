"""Settings of a node, read from a file of JSON with comments."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from crocuswick import _setting_fields as fields
from crocuswick import jsonc
from crocuswick._setting_fields import FieldFault

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
    """Settings of the port for callers."""

    host: str = fields.host()
    """IP address to listen on."""

    port: int = fields.integer(low=0, high=MAX_PORT, unit="port")
    """Port to listen on, 0 for any free one."""

    max_in_flight: int = fields.integer(low=1, high=4096, unit="requests", default=96)
    """Maximum number of concurrent requests; further ones are refused."""

    refusal_threads: int = fields.integer(low=1, high=512, unit="threads", default=24)
    """Threads in addition to `max_in_flight`, for refusals and health checks."""

    max_body_bytes: int = fields.integer(
        low=1024, high=1 << 28, unit="bytes", default=8 << 20
    )
    """Largest request body."""

    max_buffered_bytes: int = fields.integer(
        low=1024, high=1 << 36, unit="bytes", default=128 << 20
    )
    """Maximum total size of buffered request bodies; further requests are refused."""

    idle_timeout_ms: int = fields.integer(
        low=100, high=600_000, unit="ms", default=10_000
    )
    """Idle time after which a caller's connection is closed."""

    tls_certificate_file: str = fields.string(default="")
    """File with the certificate chain in PEM format, empty for plain HTTP."""

    tls_key_file: str = fields.string(default="")
    """File with the private key in PEM format."""


@attrs.frozen(kw_only=True)
class OperatorsSettings:
    """Settings of the port for operators."""

    host: str = fields.host()
    """IP address to listen on."""

    port: int = fields.integer(low=0, high=MAX_PORT, unit="port")
    """Port to listen on, 0 for any free one."""

    key_file: str = fields.string()
    """File with the operators' secret."""


@attrs.frozen(kw_only=True)
class NodesSettings:
    """Settings of the ports for other nodes."""

    host: str = fields.host()
    """IP address to listen on and to announce."""

    port: int = fields.integer(low=0, high=MAX_PORT, unit="port")
    """UDP port for heartbeats and TCP port for requests of other nodes."""

    seeds: tuple[str, ...] = fields.strings()
    """``host:port`` of the node ports of the nodes to contact first."""

    key_file: str = fields.string()
    """File with the secret shared by all nodes."""


@attrs.frozen(kw_only=True)
class PlatformLogSettings:
    """Settings of the platform's log service."""

    address: str = fields.string()
    """``host:port``."""

    timeout_ms: int = fields.integer(low=10, high=60_000, unit="ms", default=1000)
    """Timeout of a call."""


@attrs.frozen(kw_only=True)
class VmListSettings:
    """Settings of the platform's list of VMs."""

    address: str = fields.string(default="")
    """``host:port``, empty if there is none."""

    poll_interval_ms: int = fields.integer(
        low=100, high=600_000, unit="ms", default=1000
    )
    """Interval between reads of the list."""


@attrs.frozen(kw_only=True)
class EndpointsSettings:
    """Settings of calls to endpoints."""

    progress_timeout_ms: int = fields.integer(
        low=50, high=60_000, unit="ms", default=2000
    )
    """Idle time after which a stream is resumed on a new connection."""

    placement: str = fields.string(default="current")
    """Name of the placement policy."""


@attrs.frozen(kw_only=True)
class ShutdownSettings:
    """Settings of the node's shutdown."""

    hard_deadline_ms: int = fields.integer(
        low=0, high=3_600_000, unit="ms", default=600_000
    )
    """Time after which requests still in flight are aborted."""


@attrs.frozen(kw_only=True)
class TimeLineSettings:
    """Settings of the time line."""

    capacity: int = fields.integer(low=16, high=1 << 20, unit="events", default=4096)
    """Maximum number of events kept; the oldest are dropped first."""

    clock_error_ms: int = fields.integer(low=0, high=60_000, unit="ms", default=50)
    """Upper bound of the wall clock's error."""


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of a node."""

    node_id: str = fields.string()
    """Id of the node, unique in the deployment."""

    zone: str = fields.string()
    """Availability zone of the node's VM."""

    region: str = fields.string()
    """Region of the zone."""

    log_level: str = fields.string(
        default="info", choices=("debug", "info", "warning", "error")
    )
    """Minimum level of logged messages."""

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
    """Human-readable description of the fault."""

    def __str__(self) -> str:
        return f"line {self.line}: {self.path or 'settings'}: {self.message}"


def parse_settings(source: str) -> Result[Settings, list[SettingsFault]]:
    """Parse and validate settings.

    Args:
        source: Text of a settings file.

    Returns:
        The settings, or every fault found, in line order.
    """
    parsed = jsonc.parse(source)
    if parsed.is_err():
        error = parsed.err_value
        return Err([SettingsFault(line=error.line, path="", message=error.message)])
    document = parsed.ok_value
    faults: list[FieldFault] = []
    settings = fields.structure(Settings, document.value, (), faults)
    if settings is not None:
        faults += _cross_field_faults(settings)
    if faults:
        return Err(_with_lines(faults, document))
    return Ok(settings)


def load_settings(path: Path) -> Result[Settings, list[SettingsFault]]:
    """Read and validate a settings file and the key files that it names.

    Args:
        path: Settings file. Relative paths in it are resolved against its folder.

    Returns:
        The settings, or every fault found, in line order.
    """
    try:
        source = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err([SettingsFault(line=1, path="", message=str(error))])
    return parse_settings(source).and_then(
        lambda settings: _resolve_key_files(settings, path.parent, source)
    )


def _with_lines(
    faults: list[FieldFault], document: jsonc.JsoncDocument
) -> list[SettingsFault]:
    faults_with_lines = [
        SettingsFault(
            line=document.line_of(fault.path),
            path=".".join(fault.path),
            message=fault.message,
        )
        for fault in faults
    ]
    return sorted(faults_with_lines, key=lambda fault: (fault.line, fault.path))


def _cross_field_faults(settings: Settings) -> list[FieldFault]:
    faults = []
    callers = settings.callers
    if bool(callers.tls_certificate_file) != bool(callers.tls_key_file):
        faults.append(
            FieldFault(
                path=("callers", "tls_key_file"),
                message="must be set together with tls_certificate_file",
            )
        )
    if callers.max_buffered_bytes < callers.max_body_bytes:
        faults.append(
            FieldFault(
                path=("callers", "max_buffered_bytes"),
                message="must be at least max_body_bytes",
            )
        )
    ports = {
        ("callers", "port"): callers.port,
        ("operators", "port"): settings.operators.port,
        ("nodes", "port"): settings.nodes.port,
    }
    paths_by_port: dict[int, tuple[str, ...]] = {}
    for path, port in ports.items():
        if port and port in paths_by_port:
            first_path = ".".join(paths_by_port[port])
            faults.append(
                FieldFault(path=path, message=f"must differ from {first_path}")
            )
        paths_by_port.setdefault(port, path)
    return faults


def _resolve_key_files(
    settings: Settings, folder: Path, source: str
) -> Result[Settings, list[SettingsFault]]:
    faults = []
    resolved: dict[str, Any] = {}
    for section in SECTIONS_WITH_KEY_FILE:
        section_settings = getattr(settings, section)
        path = folder / section_settings.key_file
        resolved[section] = attrs.evolve(section_settings, key_file=str(path))
        if (message := _key_file_fault(path)) is not None:
            faults.append(FieldFault(path=(section, "key_file"), message=message))
    if faults:
        return Err(_with_lines(faults, jsonc.parse(source).ok_value))
    return Ok(attrs.evolve(settings, **resolved))


def _key_file_fault(path: Path) -> str | None:
    try:
        length = len(path.read_bytes().strip())
    except OSError as error:
        return str(error)
    if length < MIN_SECRET_BYTES:
        return f"{path} must hold at least {MIN_SECRET_BYTES} bytes"
    return None
