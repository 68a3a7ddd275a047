"""Puts the node, its packages and their byte code under target/deps."""

import compileall
import filecmp
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
TARGET = ROOT / 'target' / 'deps'
REQUIREMENTS = ROOT / 'deploy' / 'requirements.txt'
STAMP = TARGET / '.requirements.txt'
#: Packages that a node needs, without the benches and the command.
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
#: The command without its options: a command-line library would take a tenth
#: of the node's start.
PROGRAM = f"""from turmericyard_node.forwarding.launch import launch

launch({ADAPTER!r})
"""


def main() -> None:
    """Install the pinned packages when they changed, then the own ones."""
    wanted = REQUIREMENTS.read_bytes()
    if not STAMP.exists() or STAMP.read_bytes() != wanted:
        shutil.rmtree(TARGET, ignore_errors=True)
        install()
        STAMP.write_bytes(wanted)
    sources = [
        source
        for package in PACKAGES
        for source in (ROOT / 'packages' / package / 'src').iterdir()
        if source.name.startswith('turmericyard_') and source.is_dir()
        if not source.name.endswith('.egg-info')
    ]
    for source in (*sources, ROOT / 'platform' / 'turmericyard_fleet'):
        copy(source)
    program = TARGET / 'bin' / 'turmericyard-node'
    program.parent.mkdir(exist_ok=True)
    program.write_text(PROGRAM, encoding='utf-8')
    for level in (0, 1):
        compileall.compile_dir(TARGET, quiet=2, optimize=level)


def install() -> None:
    """Install the pinned packages."""
    subprocess.run(
        (
            *(sys.executable, '-m', 'pip', 'install', '--quiet'),
            *('--no-deps', '--target', str(TARGET)),
            *('--requirement', str(REQUIREMENTS)),
        ),
        check=True,
    )


def copy(source: Path) -> None:
    """Make the installed package the same as its source.

    Files that are the same stay untouched: another build may serve processes
    that start from them now.
    """
    target = TARGET / source.name
    wanted = relative_files(source)
    for stale in relative_files(target) - wanted:
        (target / stale).unlink()
    for path in wanted:
        copied = target / path
        copied.parent.mkdir(parents=True, exist_ok=True)
        if not copied.exists() or not filecmp.cmp(
            source / path, copied, shallow=False
        ):
            shutil.copy(source / path, copied)


def relative_files(folder: Path) -> set[Path]:
    """Return the files below a folder, without byte code."""
    return {
        path.relative_to(folder)
        for path in folder.rglob('*')
        if path.is_file() and '__pycache__' not in path.parts
    }


if __name__ == '__main__':
    main()
