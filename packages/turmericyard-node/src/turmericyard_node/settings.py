"""Settings of a node: an INI file, validated before anything starts."""

from configparser import ConfigParser, Error
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    ValidationInfo,
    field_validator,
)
from returns.result import Failure, Result, Success

MAX_PORT = 65_535
MAX_INTERVAL_SECONDS = 3600
KIBIBYTE = 1024
MEBIBYTE = 1_048_576
MAX_BODY_MEBIBYTES = 64
MAX_RECORDS = 1_000_000
DEFAULT_QUEUED_REQUESTS = 4096
DEFAULT_TRACED_REQUESTS = 2000
DEFAULT_HEADER_KIBIBYTES = 16
Name = Annotated[str, Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')]
PositiveSeconds = Annotated[float, Field(gt=0, le=MAX_INTERVAL_SECONDS)]


def check_address(text: str) -> str:
    """Return the text if it is `ip:port` (IPv4); raises ValueError if not."""
    host, _, port = text.rpartition(':')
    parts = host.split('.')
    valid_host = len(parts) == 4 and all(  # noqa: WPS432  IPv4 has 4 bytes
        part.isdecimal() and int(part) <= 255  # noqa: WPS432
        for part in parts
    )
    if not valid_host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError('allowed is IPv4-ADDRESS:PORT, e.g. 10.0.0.7:8080')
    return text


Address = Annotated[str, AfterValidator(check_address)]
#: A node can listen on this address, but no peer can connect to it.
ANY_HOST = '0.0.0.0'  # noqa: S104  only compared with


def is_reachable(address: str) -> bool:
    """Return whether a peer could connect to an `ip:port` address."""
    host, _, port = address.rpartition(':')
    return host != ANY_HOST and int(port) > 0


class Section(BaseModel):
    """A section of the settings file; unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class NodeSection(Section):
    """The node's identity and the addresses at which it listens.

    Peers connect to `advertised_peer_address`, which is part of the node's
    record in the store. It is required when peers cannot reach
    `peer_address`: behind network address translation, or when the node
    listens on every interface.
    """

    name: Name
    zone: Name
    vm: Name
    region: Name = 'default'
    caller_address: Address
    peer_address: Address
    operator_address: Address
    advertised_peer_address: Annotated[
        Address | None, Field(validate_default=True)
    ] = None

    @field_validator('advertised_peer_address')
    @classmethod
    def check_reachable(
        cls, address: str | None, checked: ValidationInfo
    ) -> str | None:
        """Return the address; raises ValueError if no peer can connect."""
        effective = address or checked.data.get('peer_address')
        if effective is not None and not is_reachable(effective):
            raise ValueError(
                f'peers cannot connect to {effective}; allowed is an address '
                'of this node that peers can reach, with a port above 0'
            )
        return address

    @property
    def effective_peer_address(self) -> str:
        """Return the address to which peers connect."""
        return self.advertised_peer_address or self.peer_address

    @property
    def peer_source(self) -> str:
        """Return the IP address from which the node connects to peers."""
        return self.peer_address.rpartition(':')[0]


class PlatformSection(Section):
    """Addresses of the platform's services."""

    store: Address
    vm_list: Address | None = None


class SecretsSection(Section):
    """Files that hold secrets; their contents are never printed."""

    cluster_file: Path
    operator_token_file: Path


class PeersSection(Section):
    """Peers known without the store, as `name@ip:port, ...`."""

    seeds: str = ''


class LimitsSection(Section):
    """Limits on the size of requests and on the number kept in memory."""

    header_bytes: int = Field(
        default=DEFAULT_HEADER_KIBIBYTES * KIBIBYTE, ge=KIBIBYTE, le=MEBIBYTE
    )
    body_bytes: int = Field(
        default=MEBIBYTE, ge=KIBIBYTE, le=MAX_BODY_MEBIBYTES * MEBIBYTE
    )
    queued_requests: int = Field(
        default=DEFAULT_QUEUED_REQUESTS, ge=1, le=MAX_RECORDS
    )
    traced_requests: int = Field(
        default=DEFAULT_TRACED_REQUESTS, ge=10, le=MAX_RECORDS
    )


class TimingSection(Section):
    """Intervals and timeouts in seconds."""

    heartbeat_seconds: PositiveSeconds = 0.5
    isolation_seconds: PositiveSeconds = 3
    member_ttl_seconds: PositiveSeconds = 10
    address_ttl_seconds: PositiveSeconds = 5
    drain_margin_seconds: PositiveSeconds = 2
    drain_limit_seconds: PositiveSeconds = 900
    stream_silence_seconds: PositiveSeconds = 3
    caller_heartbeat_seconds: PositiveSeconds = 2
    abandon_grace_seconds: PositiveSeconds = 8
    claim_validity_seconds: PositiveSeconds = 4
    call_timeout_seconds: PositiveSeconds = 5
    load_poll_seconds: PositiveSeconds = 0.5


class NodeSettings(Section):
    """All settings of a node."""

    node: NodeSection
    platform: PlatformSection
    secrets: SecretsSection
    peers: PeersSection = PeersSection()
    limits: LimitsSection = LimitsSection()
    timing: TimingSection = TimingSection()


@dataclass(frozen=True, slots=True)
class SettingError:
    """One invalid setting: its location, the text read and what is allowed."""

    file: str
    section: str
    key: str
    read: str
    allowed: str

    @property
    def message(self) -> str:
        """Return the fault as one line with its remedy."""
        return (
            f'{self.file}: [{self.section}] {self.key}: '
            f'read {self.read}; {self.allowed}'
        )


@dataclass(frozen=True, slots=True)
class InvalidSettings:
    """All faults of a settings file."""

    faults: tuple[SettingError, ...]

    @property
    def message(self) -> str:
        """Return all faults, one per line."""
        return '\n'.join(fault.message for fault in self.faults)


def read_settings(path: Path) -> Result[NodeSettings, InvalidSettings]:
    """Return the validated settings of a file, or all of its faults."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'))
    except (OSError, Error, UnicodeError) as error:
        fault = SettingError(
            str(path), '-', '-', type(error).__name__, 'a readable INI file'
        )
        return Failure(InvalidSettings((fault,)))
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return Success(NodeSettings.model_validate(sections))
    except ValidationError as error:
        faults = tuple(
            describe_fault(str(path), details)
            for details in error.errors(include_url=False)
        )
        return Failure(InvalidSettings(faults))


def describe_fault(file: str, details: Any) -> SettingError:
    """Return the fault for one of pydantic's validation errors."""
    location = [str(part) for part in details['loc']]
    section = location[0] if location else '-'
    key = location[1] if len(location) > 1 else '-'
    read = 'nothing' if details['type'] == 'missing' else details['input']
    return SettingError(file, section, key, repr(read), details['msg'])


def parse_seeds(text: str) -> dict[str, str]:
    """Return peer addresses by node from `name@ip:port, ...`.

    Parts without `@` are skipped.
    """
    pairs = (part.strip().partition('@') for part in text.split(','))
    return {name: address for name, separator, address in pairs if separator}
