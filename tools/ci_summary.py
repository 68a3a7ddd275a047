"""Prints a summary of a behave run and returns its exit status.

Prints the logs of the failed scenarios when a file of them is given, shortened
to a limit; then each scenario that did not pass, with its feature file, step,
error and time; and last the number of passed and failed scenarios. A failed
scenario that is listed in the known-red file is printed but not counted as
failed. Exit status: 0 when nothing else failed, 1 otherwise.
"""

import argparse
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

#: Maximum length of a printed error message, in characters.
ERROR_LIMIT = 1500
#: Maximum length of the printed logs of all failed scenarios, in characters.
LOGS_LIMIT = 60_000
#: Start of the heading of a scenario's logs, written by
#: features/support/failed_logs.py.
LOGS_HEADING = '=== logs of '
OMISSION = '\n[...]\n'


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one scenario.

    `step` and `error` are empty when no step failed. `seconds` is the total
    time of the steps.
    """

    name: str
    status: str
    feature: str
    seconds: float
    step: str
    error: str


def read_known_red(path: Path) -> set[str]:
    """Print the file and return the scenario names of its `test:` lines.

    Returns an empty set when the file does not exist.
    """
    if not path.exists():
        return set()
    text = path.read_text(encoding='utf-8')
    print(text)
    prefix = 'test:'
    return {
        line.removeprefix(prefix).strip()
        for line in text.splitlines()
        if line.startswith(prefix)
    }


def read_outcomes(path: Path) -> list[Outcome]:
    """Return the outcome of each scenario.

    Returns an empty list when the report is missing or is not valid JSON.
    """
    try:
        report = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError):
        return []
    return [
        read_outcome(element)
        for feature in report
        for element in feature.get('elements', [])
        if element.get('type') != 'background'
    ]


def read_outcome(element: dict[str, Any]) -> Outcome:
    """Return the outcome of one scenario of the report.

    Steps after a failed one were not run and have no result.
    """
    finished_steps = [
        step for step in element.get('steps', []) if 'result' in step
    ]
    failed_steps = [
        step for step in finished_steps if step['result']['status'] != 'passed'
    ]
    error = (
        failed_steps[0]['result'].get('error_message', '')
        if failed_steps
        else ''
    )
    return Outcome(
        element['name'].strip(),
        element.get('status', 'untested'),
        element.get('location', ''),
        sum(step['result'].get('duration', 0) for step in finished_steps),
        step_text(failed_steps[0]) if failed_steps else '',
        error if isinstance(error, str) else '\n'.join(error),
    )


def step_text(step: dict[str, Any]) -> str:
    """Return the text of a step and, when it is defined, its code location."""
    location = step.get('match', {}).get('location')
    text = f'{step["keyword"]} {step["name"]}'
    return f'{text} ({location})' if location else text


def shorten(text: str, limit: int) -> str:
    """Return the text, without its middle when it is longer than the limit.

    The end is kept at twice the length of the beginning, since a traceback
    ends with the error message.
    """
    if len(text) <= limit:
        return text
    head = (limit - len(OMISSION)) // 3
    tail = limit - len(OMISSION) - head
    return text[:head] + OMISSION + text[-tail:]


def describe(outcome: Outcome, label: str) -> str:
    """Return the printed lines for a scenario that did not pass."""
    lines = [
        f'{label}: {outcome.name}',
        f'  at {outcome.feature}, {outcome.status} after'
        f' {outcome.seconds:.1f} s',
        f'  step: {outcome.step or "none (see the hooks)"}',
    ]
    if outcome.error:
        lines.append(shorten(outcome.error, ERROR_LIMIT))
    return '\n'.join(lines)


def read_logs(path: Path | None) -> str:
    """Return the logs; each scenario has an equal share of LOGS_LIMIT."""
    if path is None or not path.exists():
        return ''
    text = path.read_text(encoding='utf-8', errors='replace')
    first, *sections = text.split(LOGS_HEADING)
    if not sections:
        return shorten(first, LOGS_LIMIT)
    share = LOGS_LIMIT // len(sections) - len(LOGS_HEADING)
    return ''.join(LOGS_HEADING + shorten(each, share) for each in sections)


def main() -> int:
    """Print the summary and return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--lint', type=int, default=0)
    parser.add_argument('--report', type=Path, required=True)
    parser.add_argument('--known-red', type=Path, required=True)
    parser.add_argument('--logs', type=Path)
    args = parser.parse_args()
    known = read_known_red(args.known_red)
    outcomes = read_outcomes(args.report)
    passed = sum(outcome.status == 'passed' for outcome in outcomes)
    not_passed = [outcome for outcome in outcomes if outcome.status != 'passed']
    unexpected = [
        outcome for outcome in not_passed if outcome.name not in known
    ]
    print(read_logs(args.logs), end='')
    for outcome in not_passed:
        label = 'known red' if outcome.name in known else 'failed'
        print(describe(outcome, label))
    if args.lint:
        print('failed: make lint')
    if not outcomes:
        print('failed: no scenario was reported')
    failed = len(unexpected) + bool(args.lint) + (not outcomes)
    print(f'{passed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
