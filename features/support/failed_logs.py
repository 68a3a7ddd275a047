"""Keeps the last lines of the process logs of failed scenarios."""

import os
from pathlib import Path

#: Names the file of a run that works beside others.
PATH_VARIABLE = 'TURMERICYARD_FAILED_LOGS'
DEFAULT_PATH = Path(__file__).parents[2] / 'build' / 'failed-logs.txt'
PATH = Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
#: First characters of the line that begins the logs of a scenario.
HEADING = '=== logs of '
#: Part of each process's log that is kept, in characters.
TAIL = 2000


def log_tails(directory: Path) -> str:
    """Return the last part of each log of a directory, under its name."""
    return '\n'.join(
        f'--- {log.name}\n{log.read_text(errors="replace")[-TAIL:].rstrip()}'
        for log in sorted(directory.glob('*.log'))
    )


def keep_logs(path: Path, scenario: str, directory: Path) -> None:
    """Append the ends of the scenario's logs to a file, if it has any."""
    tails = log_tails(directory)
    if not tails:
        return
    path.parent.mkdir(exist_ok=True)
    with path.open('a', encoding='utf-8') as file:
        file.write(f'{HEADING}{scenario}\n{tails}\n')
