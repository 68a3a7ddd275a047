"""Steps for the tables as INI text and as the stored document."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from support.examples import parse_example, read_example
from turmericyard_tables.document import (
    Document,
    configure,
    decode_document,
    encode_document,
    read_document,
)
from turmericyard_tables.errors import (
    DocumentTooLarge,
    InvalidTables,
    UnreadableDocument,
)
from turmericyard_tables.ini import RowKey, Table, parse_tables

FUZZ = settings(max_examples=400, database=None, deadline=None)
WORDS = st.sampled_from(
    [
        '[route booking]',
        '[pool p]',
        '[endpoint e]',
        '[workspace w]',
        '[DEFAULT]',
        'kind = service',
        'kind = generation',
        'pools = p',
        'products = booking',
        'deadline_seconds = 5',
        'deadline_seconds = nan',
        'limit = 4',
        'cold_limit = 1',
        'limit = 99999999999999999999999',
        'address = 127.0.0.1:80',
        'address = 127.0.0.1:٣',
        'zone = a',
        'vm = v',
        'pool = p',
        '  continued',
        'key',
        '= 3',
        '[',
        ']',
        '%(x)s',
        '\x00',
        '; note',
        '\r',
    ]
)
TEXTS = st.one_of(
    st.text(max_size=200),
    st.lists(st.one_of(WORDS, st.text(max_size=12)), max_size=14).map(
        '\n'.join
    ),
)


def tables_result(texts: dict[Table, str]):
    return parse_tables(texts[Table.ROUTES], texts[Table.POOLS]).bind(
        lambda rows: configure(Document(rows), 1)
    )


@given('the tables of example "{name}"')
def step_tables(context: Context, name: str) -> None:
    context.texts = read_example(name)


@when('the tables of example "{name}" are read')
def step_read_tables(context: Context, name: str) -> None:
    context.document = parse_example(name)
    context.configuration = configure(context.document, 7).unwrap()


@then(
    'the configuration has {zones:d} zones, {endpoints:d} endpoints '
    'and {workspaces:d} workspaces'
)
def step_counts(
    context: Context, zones: int, endpoints: int, workspaces: int
) -> None:
    rows = context.configuration.endpoints.values()
    assert len({endpoint.zone for endpoint in rows}) == zones
    assert len(rows) == endpoints
    assert len(context.configuration.workspaces) == workspaces


@then('its stored value decodes to the same configuration')
def step_decode_stored(context: Context) -> None:
    value = encode_document(context.document).unwrap()
    assert decode_document(value, 7).unwrap() == context.configuration
    assert read_document(value).unwrap() == context.document


@when('"{before}" of the {table} table becomes "{after}"')
def step_change_text(
    context: Context, before: str, table: str, after: str
) -> None:
    text = context.texts[Table(table)]
    assert before in text
    context.texts[Table(table)] = text.replace(before, after, 1)


@then('the tables are refused with errors')
def step_errors(context: Context) -> None:
    faults = tables_result(context.texts).failure().faults
    found = [
        (fault.table, fault.section, fault.key, fault.found) for fault in faults
    ]
    assert found == [tuple(row) for row in context.table], found
    assert all(fault.allowed for fault in faults)


@then('the tables are refused at "{place}"')
def step_refused_at(context: Context, place: str) -> None:
    error = tables_result(context.texts).failure()
    assert isinstance(error, InvalidTables)
    assert f'{place}: found ' in error.message, error.message


@then('any INI-like text is either read or gives errors with all their fields')
def step_any_text(context: Context) -> None:
    @seed(1)
    @FUZZ
    @given_values(TEXTS, TEXTS)
    def check(routes: str, pools: str) -> None:
        result = tables_result({Table.ROUTES: routes, Table.POOLS: pools})
        if isinstance(result, Failure):
            error = result.failure()
            assert isinstance(error, InvalidTables)
            assert error.faults
            assert all(f.table and f.found and f.allowed for f in error.faults)

    check()


@then('any stored bytes are either decoded or give a typed error')
def step_any_bytes(context: Context) -> None:
    value = encode_document(parse_example('vodnik')).unwrap()
    errors = (InvalidTables, UnreadableDocument, DocumentTooLarge)

    @seed(2)
    @FUZZ
    @given_values(
        st.one_of(
            st.binary(max_size=200),
            st.tuples(
                st.integers(0, len(value) - 1), st.binary(max_size=4)
            ).map(
                lambda edit: value[: edit[0]] + edit[1] + value[edit[0] + 1 :]
            ),
        )
    )
    def check(stored: bytes) -> None:
        result = decode_document(stored, 3)
        assert isinstance(result, Success) or isinstance(
            result.failure(), errors
        )

    check()


@then('the canonical text of any valid rows is parsed to the same rows')
def step_round_trip(context: Context) -> None:
    texts = read_example('vodnik')
    pools = texts[Table.POOLS]

    @seed(3)
    @FUZZ
    @given_values(st.text(max_size=30), st.text(max_size=30))
    def check(model: str, version: str) -> None:
        changed = pools.replace('report-7b', f'm{model}').replace(
            'version = 1', f'version = {version}'
        )
        result = parse_tables(texts[Table.ROUTES], changed)
        if isinstance(configure_rows(result), Failure):
            return
        document = Document(result.unwrap())
        value = encode_document(document).unwrap()
        assert read_document(value).unwrap() == document
        canonical_texts = [document.text(table) for table in Table]
        assert parse_tables(*canonical_texts).unwrap() == document.rows

    check()


def configure_rows(result):
    return result.bind(lambda rows: configure(Document(rows), 1))


@when('{count:d} endpoints are added to the tables of example "{name}"')
def step_add_endpoints(context: Context, count: int, name: str) -> None:
    document = parse_example(name)
    rows = dict(document.rows)
    for n in range(count):
        rows[RowKey('endpoint', f'e{n}')] = {
            'pool': 'report-model',
            'address': f'127.{n // 65536}.{n // 256 % 256}.{n % 256}:80',
            'zone': 'lj-a',
            'vm': f'vm-{n}',
        }
    context.document = Document(rows)


@then('the document is refused as too large')
def step_too_large(context: Context) -> None:
    error = encode_document(context.document).failure()
    assert isinstance(error, DocumentTooLarge)
