"""Reads a forwarding node's own settings, an INI file.

A missing file, section or key means the default.
"""

from importlib import import_module
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct, ValidationError, convert, field
from returns.result import Failure, Result, Success

#: File of these settings below the directory in which the process starts.
DEFAULT_PATH = Path('deploy', 'node.ini')
#: Largest share of requests that may be sent twice.
MAX_SHARE = 0.2
#: Least time without progress that is taken for a stall: a connection that
#: lost some segments goes on within it.
MIN_STALL_SECONDS = 1
#: Least receive buffer: the longest head.
MIN_RECEIVE_BUFFER_BYTES = 16_384
BufferBytes = Annotated[int, Meta(ge=MIN_RECEIVE_BUFFER_BYTES)]
Positive = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=MAX_SHARE)]


class HedgingOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Second copies of requests that may be repeated; off with a share of 0."""

    #: Share of the requests of a service that may be sent twice.
    share: Share = 0


class ClientOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on what all clients of a node together may take.

    Times are in seconds.
    """

    #: Connections of clients; 0: as many as memory and descriptors allow.
    connections: Annotated[int, Meta(ge=0)] = 0
    #: Connections to each of the other addresses: readiness, directory, control
    #: and metrics.
    status_connections: Positive = 64
    #: Time for the rest of a head after its first byte.
    head_seconds: Annotated[float, Meta(ge=MIN_STALL_SECONDS)] = 10
    #: Time without progress after which a body, or a client that does not read,
    #: is given up.
    stall_seconds: Annotated[float, Meta(ge=MIN_STALL_SECONDS)] = 5
    #: Receive buffers of a client's and an endpoint's connection where memory
    #: is bounded. The system uses up to twice as much.
    receive_buffer_bytes: BufferBytes = 131_072
    endpoint_buffer_bytes: BufferBytes = 65_536


class NodeOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a forwarding node that the platform does not give."""

    hedging: HedgingOptions = field(default_factory=HedgingOptions)
    clients: ClientOptions = field(default_factory=ClientOptions)


def read_options(path: Path = DEFAULT_PATH) -> Result[NodeOptions, str]:
    """Return the options in a file, or which one is invalid."""
    if not path.exists():
        return Success(NodeOptions())
    configparser = import_module('configparser')
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding='utf-8')
        sections = {name: dict(parser[name]) for name in parser.sections()}
        return Success(convert(sections, NodeOptions, strict=False))
    except (configparser.Error, UnicodeDecodeError, ValidationError) as error:
        return Failure(f'{path}: {error}; correct or remove the key')
