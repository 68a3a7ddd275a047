"""The command `turmericyard-node`."""

from importlib import import_module
from pathlib import Path

import click


@click.command()
@click.option(
    '--settings',
    'settings_file',
    type=click.Path(path_type=Path),
    help='INI file with the settings of this node.',
)
@click.option(
    '--adapter',
    help='Package of a platform adapter; settings then come from the platform.',
)
def main(settings_file: Path | None, adapter: str | None) -> None:
    """Run one node until SIGTERM, which drains it.

    Peers connect to advertised_peer_address in [node], or to peer_address
    when it is not given; docs/OPERATORS.md lists all settings. With an
    adapter the node forwards opaque requests on that platform instead.

    Exit status: 0 after draining, 2 for wrong settings, 3 when an address
    cannot be bound.
    """
    if adapter is not None:
        import_module('turmericyard_node.forwarding.launch').launch(adapter)
    elif settings_file is not None:
        import_module('turmericyard_node.command').run(settings_file)
    else:
        raise click.UsageError('give --settings FILE or --adapter PACKAGE')


if __name__ == '__main__':
    main()
