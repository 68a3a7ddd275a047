"""Steps for the settings of a node."""

from configparser import ConfigParser
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from turmericyard_node.settings import read_settings

CORRECT = {
    'node': {
        'name': 'node-1',
        'zone': 'zone-a',
        'vm': 'vm-1',
        'caller_address': '127.0.0.1:8080',
        'peer_address': '127.0.0.1:8081',
        'operator_address': '127.0.0.1:8082',
    },
    'platform': {'store': '127.0.0.1:9000'},
    'secrets': {'cluster_file': 'cluster', 'operator_token_file': 'token'},
    'limits': {},
    'timing': {},
}
WAIT_SECONDS = 20


def write(context: Context, sections: dict[str, dict[str, str]]) -> None:
    parser = ConfigParser(interpolation=None)
    parser.read_dict(sections)
    directory: Path = context.launcher.directory
    context.file = directory / 'node.ini'
    with context.file.open('w', encoding='utf-8') as file:
        parser.write(file)
    (directory / 'cluster').write_text('secret-text', encoding='utf-8')
    (directory / 'token').write_text('token-text', encoding='utf-8')


@given('a valid settings file')
def step_correct(context: Context) -> None:
    write(context, CORRECT)


@given('a settings file where')
def step_where(context: Context) -> None:
    sections = {name: dict(keys) for name, keys in CORRECT.items()}
    context.changes = list(context.table)
    for row in context.changes:
        sections[row['section']][row['key']] = row['text']
    write(context, sections)


@given('a settings file without the section "{section}"')
def step_without(context: Context, section: str) -> None:
    write(
        context,
        {name: keys for name, keys in CORRECT.items() if name != section},
    )


@given('its secret file is empty')
def step_empty_secret(context: Context) -> None:
    (context.launcher.directory / 'cluster').write_text('', encoding='utf-8')


@when('the settings are read')
def step_read(context: Context) -> None:
    context.read = read_settings(context.file)


@when('the settings of "{path}" are read')
def step_read_path(context: Context, path: str) -> None:
    context.read = read_settings(Path(path))


@when('a node is started with it')
def step_start(context: Context) -> None:
    context.running = context.launcher.start(
        'node-1', 'turmericyard_node.main', ('--settings', str(context.file))
    )


@then('node "{name}" listens for callers at "{address}"')
def step_listens(context: Context, name: str, address: str) -> None:
    node = context.read.unwrap().node
    assert (node.name, node.caller_address) == (name, address)


@then(
    '{count:d} faults are reported, each with file, section, key and the text read'
)
def step_faults(context: Context, count: int) -> None:
    faults = context.read.failure().faults
    assert len(faults) == count, context.read.failure().message
    changed = {
        (row['section'], row['key']): row['text'] for row in context.changes
    }
    for fault in faults:
        assert fault.file == str(context.file)
        read = changed[fault.section, fault.key]
        assert repr(read) == fault.read
        assert fault.allowed


@then('peers connect to "{address}"')
def step_contact(context: Context, address: str) -> None:
    assert context.read.unwrap().node.effective_peer_address == address


@then('a fault names the key "{key}"')
def step_key(context: Context, key: str) -> None:
    faults = context.read.failure().faults
    assert [fault.key for fault in faults] == [key], faults


@then('a fault names the section "{section}"')
def step_section(context: Context, section: str) -> None:
    faults = context.read.failure().faults
    assert [fault.section for fault in faults] == [section]


@then('it exits with status {status:d} and prints "{text}"')
def step_ends(context: Context, status: int, text: str) -> None:
    assert context.running.wait(WAIT_SECONDS) == status
    printed = context.running.log.read_text(encoding='utf-8')
    assert text in printed, printed
    assert 'secret-text' not in printed
    assert 'token-text' not in printed
