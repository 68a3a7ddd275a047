"""Pydantic models that validate the values of single rows."""

import ipaddress
from collections.abc import Mapping
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field
from pydantic.functional_validators import AfterValidator, BeforeValidator
from pydantic_core import ErrorDetails, ValidationError

from turmericyard_tables.errors import TableFault
from turmericyard_tables.ini import NAME_PATTERN, Row, RowKey
from turmericyard_tables.models import WorkKind

#: Highest TCP port.
MAX_PORT = 65_535
#: Longest deadline of a request, in seconds.
MAX_DEADLINE_SECONDS = 86_400
#: Largest limit of concurrent requests at one endpoint.
MAX_CONCURRENCY = 100_000
#: Largest weight of a workspace.
MAX_WEIGHT = 10_000
#: Number of the least urgent priority.
MAX_PRIORITY = 9
#: Longest name of a model or version, in characters.
MAX_MODEL_LENGTH = 200
#: Largest capacity of one engine, in resident tokens.
MAX_MEMORY_TOKENS = 1_000_000_000_000
#: Largest strike limit of a pool.
MAX_STRIKES = 100
#: Values in errors are cut to this length, in characters.
MAX_FOUND_LENGTH = 120


def split_names(text: object) -> object:
    """Return the items of a comma-separated text; other values unchanged."""
    if not isinstance(text, str):
        return text
    return [word.strip() for word in text.split(',') if word.strip()]


def check_unique(names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the names; raises ValueError when one occurs twice."""
    if len(set(names)) != len(names):
        raise ValueError('a list without repeated names')
    return names


def check_address(address: str) -> str:
    """Return the address; raises ValueError unless it is `IP:port`."""
    host, _, port = address.rpartition(':')
    allowed = f'IP:port with an IP address and a port from 1 to {MAX_PORT}'
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(allowed)
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(allowed)
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        raise ValueError(allowed) from None
    return address


Name = Annotated[str, Field(pattern=NAME_PATTERN.replace(r'\Z', '$'))]
Names = Annotated[
    tuple[Name, ...], BeforeValidator(split_names), AfterValidator(check_unique)
]
NonEmptyNames = Annotated[Names, Field(min_length=1)]
Address = Annotated[str, AfterValidator(check_address)]
Concurrency = Annotated[int, Field(ge=1, le=MAX_CONCURRENCY)]
Fraction = Annotated[float, Field(gt=0, lt=1)]
Seconds = Annotated[float, Field(gt=0, le=MAX_DEADLINE_SECONDS)]


class RowModel(BaseModel):
    """Base of the row models: immutable, unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class RouteRow(RowModel):
    """Row `[route PRODUCT]`, with the objectives of the product."""

    kind: WorkKind
    pools: NonEmptyNames
    deadline_seconds: Seconds
    priority: int = Field(default=1, ge=0, le=MAX_PRIORITY)
    tail_weight: float = Field(default=0.5, ge=0, le=1)
    availability: Fraction = 0.999
    first_token_seconds: Seconds = 1.2
    first_token_share: Fraction = 0.95
    token_interval_seconds: Seconds = 0.042
    token_interval_share: Fraction = 0.95
    idempotent: bool = False


class WorkspaceRow(RowModel):
    """Row `[workspace NAME]`."""

    products: NonEmptyNames
    weight: int = Field(default=1, ge=1, le=MAX_WEIGHT)


class PoolRow(RowModel):
    """Row `[pool NAME]`."""

    products: NonEmptyNames
    kind: WorkKind
    cold_limit: Concurrency
    limit: Concurrency
    memory_tokens: int = Field(default=0, ge=0, le=MAX_MEMORY_TOKENS)
    model: str = Field(default='', max_length=MAX_MODEL_LENGTH)
    version: str = Field(default='', max_length=MAX_MODEL_LENGTH)
    adapters: Names = ()
    role: Name = 'serve'
    checks_fencing: bool = True
    strike_limit: int = Field(default=2, ge=1, le=MAX_STRIKES)


class EndpointRow(RowModel):
    """Row `[endpoint NAME]`."""

    pool: Name
    address: Address
    zone: Name
    vm: Name


ROW_MODELS: Mapping[str, type[RowModel]] = {
    'route': RouteRow,
    'workspace': WorkspaceRow,
    'pool': PoolRow,
    'endpoint': EndpointRow,
}


def validate_row(
    key: RowKey, row: Row, faults: list[TableFault]
) -> RowModel | None:
    """Return the model of a row, None when it is invalid.

    Errors are appended to `faults`, one for each invalid value.
    """
    model = ROW_MODELS[key.kind]
    try:
        return model.model_validate(dict(row))
    except ValidationError as error:
        faults.extend(
            value_fault(key, model, details)
            for details in error.errors(include_url=False)
        )
    return None


def value_fault(
    key: RowKey, model: type[RowModel], details: ErrorDetails
) -> TableFault:
    """Return the error for one value that failed validation."""
    name = str(details['loc'][0]) if details['loc'] else ''
    found = repr(details['input'])[:MAX_FOUND_LENGTH]
    allowed = details['msg'].removeprefix('Value error, ')
    if details['type'] == 'missing':
        found, allowed = 'no value', 'a value, since the key is required'
    elif details['type'] == 'extra_forbidden':
        found = 'a key that is not known'
        allowed = ', '.join(model.model_fields)
    return TableFault(key.table.value, key.section, name, found, allowed)
