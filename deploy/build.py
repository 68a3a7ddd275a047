"""Installs the node, its dependencies and their byte code in target/deps."""

import compileall
import filecmp
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
TARGET = ROOT / 'target' / 'deps'
REQUIREMENTS = ROOT / 'deploy' / 'requirements.txt'
INSTALLED_REQUIREMENTS = TARGET / '.requirements.txt'
#: Packages that a node needs: all but the bench and the operator command.
PACKAGES = (
    'turmericyard-tables',
    'turmericyard-decisions',
    'turmericyard-protocol',
    'turmericyard-http',
    'turmericyard-clients',
    'turmericyard-ports',
    'turmericyard-node',
)
ADAPTER = 'turmericyard_fleet'
#: Starts the node without parsing options: loading a command-line library would
#: take a tenth of the node's start-up time.
PROGRAM = f"""from turmericyard_node.forwarding.launch import launch

launch({ADAPTER!r})
"""


def main() -> None:
    """Build target/deps.

    Installs all pinned packages again when their list changed, then updates the
    packages of the project.
    """
    requirements = REQUIREMENTS.read_bytes()
    if (
        not INSTALLED_REQUIREMENTS.exists()
        or INSTALLED_REQUIREMENTS.read_bytes() != requirements
    ):
        shutil.rmtree(TARGET, ignore_errors=True)
        install()
        INSTALLED_REQUIREMENTS.write_bytes(requirements)
    sources = [
        source
        for package in PACKAGES
        for source in (ROOT / 'packages' / package / 'src').iterdir()
        if source.name.startswith('turmericyard_') and source.is_dir()
        if not source.name.endswith('.egg-info')
    ]
    for source in (*sources, ROOT / 'platform' / 'turmericyard_fleet'):
        update_package(source)
    program = TARGET / 'bin' / 'turmericyard-node'
    program.parent.mkdir(exist_ok=True)
    program.write_text(PROGRAM, encoding='utf-8')
    for level in (0, 1):
        compileall.compile_dir(TARGET, quiet=2, optimize=level)


def install() -> None:
    """Install the pinned third-party packages."""
    subprocess.run(
        (
            *(sys.executable, '-m', 'pip', 'install', '--quiet'),
            *('--no-deps', '--target', str(TARGET)),
            *('--requirement', str(REQUIREMENTS)),
        ),
        check=True,
    )


def update_package(source: Path) -> None:
    """Update the installed package to match its source.

    Unchanged files are not written again, since processes that use an earlier
    build may be starting from them.
    """
    target = TARGET / source.name
    source_files = relative_files(source)
    for stale in relative_files(target) - source_files:
        (target / stale).unlink()
    for path in source_files:
        copied = target / path
        copied.parent.mkdir(parents=True, exist_ok=True)
        if not copied.exists() or not filecmp.cmp(
            source / path, copied, shallow=False
        ):
            shutil.copy(source / path, copied)


def relative_files(folder: Path) -> set[Path]:
    """Return the relative paths of the files in a folder, without byte code."""
    return {
        path.relative_to(folder)
        for path in folder.rglob('*')
        if path.is_file() and '__pycache__' not in path.parts
    }


if __name__ == '__main__':
    main()
