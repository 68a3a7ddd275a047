"""Builds the configuration of one revision from rows and service marks."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache, singledispatch

from returns.result import Failure, Result, Success

from turmericyard_tables.checks import find_faults
from turmericyard_tables.errors import InvalidTables, TableFault
from turmericyard_tables.ini import RowKey, Rows
from turmericyard_tables.models import (
    Configuration,
    Endpoint,
    Mark,
    Objectives,
    Pool,
    Route,
    Workspace,
)
from turmericyard_tables.rows import (
    EndpointRow,
    PoolRow,
    RouteRow,
    RowModel,
    WorkspaceRow,
    validate_row,
)

#: Data classes of rows by kind, then by name.
BuiltRows = dict[str, dict[str, object]]
RowItems = tuple[tuple[str, str], ...]
#: Size of the cache of validated rows. The largest document that the store
#: accepts has about 20,000 rows of the shortest kind. Rows are looked up in
#: the same order each time, so a least-recently-used cache that is smaller
#: than the document would never have a hit.
MAX_CACHED_ROWS = 24_576


@dataclass(frozen=True, slots=True)
class CheckedRow:
    """The data class of a row, None when it is invalid, and its errors."""

    built: object | None
    faults: tuple[TableFault, ...]


def build_configuration(
    rows: Rows,
    *,
    zones_out: Mapping[str, Mark],
    vms_out: Mapping[str, Mark],
    revision: int,
) -> Result[Configuration, InvalidTables]:
    """Return the valid configuration, or all errors.

    References between rows are checked once every single row is valid.
    """
    faults: list[TableFault] = []
    built = build_rows(rows, faults)
    configuration = Configuration(
        revision,
        built['route'],  # type: ignore[arg-type]
        built['workspace'],  # type: ignore[arg-type]
        built['pool'],  # type: ignore[arg-type]
        built['endpoint'],  # type: ignore[arg-type]
        dict(zones_out),
        dict(vms_out),
    )
    if not faults:
        faults.extend(find_faults(configuration))
    if faults:
        return Failure(InvalidTables(tuple(faults)))
    return Success(configuration)


def build_rows(rows: Rows, faults: list[TableFault]) -> BuiltRows:
    """Return the data classes of all valid rows.

    Errors of the others are appended to `faults`.
    """
    built: BuiltRows = {
        kind: {} for kind in ('route', 'workspace', 'pool', 'endpoint')
    }
    for key, row in rows.items():
        checked = check_row(key, tuple(row.items()))
        faults.extend(checked.faults)
        if checked.built is not None:
            built[key.kind][key.name] = checked.built
    return built


@lru_cache(MAX_CACHED_ROWS)
def check_row(key: RowKey, items: RowItems) -> CheckedRow:
    """Return the data class of one row, or its errors.

    The result is cached, so that an edit validates only the rows that it
    changes.
    """
    faults: list[TableFault] = []
    model = validate_row(key, dict(items), faults)
    built = None if model is None else build_row(model, key)
    return CheckedRow(built, tuple(faults))


@singledispatch
def build_row(model: RowModel, key: RowKey) -> object:
    """Return the data class for a validated row."""
    raise NotImplementedError(type(model))


@build_row.register
def build_route(model: RouteRow, key: RowKey) -> Route:
    """Return the route of a row."""
    return Route(
        key.name,
        model.kind,
        model.pools,
        model.deadline_seconds,
        model.priority,
        model.tail_weight,
        Objectives(
            model.availability,
            model.first_token_seconds,
            model.first_token_share,
            model.token_interval_seconds,
            model.token_interval_share,
        ),
        model.idempotent,
    )


@build_row.register
def build_workspace(model: WorkspaceRow, key: RowKey) -> Workspace:
    """Return the workspace of a row."""
    return Workspace(key.name, model.products, model.weight)


@build_row.register
def build_pool(model: PoolRow, key: RowKey) -> Pool:
    """Return the pool of a row."""
    return Pool(key.name, **dict(model))


@build_row.register
def build_endpoint(model: EndpointRow, key: RowKey) -> Endpoint:
    """Return the endpoint of a row."""
    return Endpoint(key.name, **dict(model))
