"""Runs feature files in parallel and joins their reports and logs.

Each file runs in a behave process of its own, with its own ports, report and
logs. The files that take longest start first. Files tagged `@alone` run one at
a time after all others: what they measure does not bear other load. Exit
status: 0 when every process reported only passed scenarios, 1 otherwise.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import repeat
from pathlib import Path
from queue import SimpleQueue
from typing import Any

ROOT = Path(__file__).parents[1]
FEATURES = ROOT / 'features'
#: First line of a file that runs alone.
ALONE_TAG = '@alone'
FORMATTER = 'support.error_report:ErrorReport'
#: Run times of the longest features in seconds, in a run of all features on six
#: busy cores. Features that are not listed count as 0.
LONG_FEATURES = {
    'bench/experiments.feature': 280,
    'node/permits_limits.feature': 190,
    'node/node_split.feature': 180,
    'decisions/permits.feature': 180,
    'node/orders.feature': 150,
    'node/zone_out.feature': 140,
    'bench/soak.feature': 130,
    'node/leaving.feature': 120,
    'node/streams.feature': 120,
    'decisions/claims.feature': 80,
    'node/answers.feature': 80,
    'node/calls_at_most_once.feature': 70,
    'node/drain.feature': 70,
    'node/configuration_in_force.feature': 60,
    'node/callers_page.feature': 60,
    'operator/commands.feature': 55,
    'node/cold_start.feature': 55,
    'node/quarantine.feature': 50,
    'bench/workers.feature': 45,
    'forwarding/soak.feature': 40,
}


@dataclass(frozen=True, slots=True)
class FeatureRun:
    """The run of one feature file.

    `report` is the parsed behave report, `logs` the logs of the failed
    scenarios, `status` the exit status of the process.
    """

    feature: Path
    report: list[Any]
    logs: str
    output: str
    status: int


def find_features(paths: list[Path]) -> list[Path]:
    """Return the feature files below the paths, the longest run time first.

    Without paths, returns all feature files.
    """
    found = {
        feature
        for path in paths or [FEATURES]
        for feature in (path.rglob('*.feature') if path.is_dir() else [path])
    }
    return sorted(found, key=lambda each: (-expected_seconds(each), each))


def expected_seconds(feature: Path) -> int:
    """Return the expected run time of the file, 0 when it is not listed."""
    return LONG_FEATURES.get('/'.join(feature.parts[-2:]), 0)


def runs_alone(feature: Path) -> bool:
    """Return whether the file's first line is the tag `@alone`."""
    lines = feature.read_text(encoding='utf-8').splitlines()
    return lines[:1] == [ALONE_TAG]


def run_features(features: list[Path], workers: int) -> list[FeatureRun]:
    """Run files, as many as there are workers at the same time."""
    free_workers: SimpleQueue[int] = SimpleQueue()
    for worker in range(workers):
        free_workers.put(worker)
    with ThreadPoolExecutor(workers) as pool:
        return list(
            pool.map(
                run_feature, features, repeat(free_workers), repeat(workers)
            )
        )


def run_feature(
    feature: Path, free_workers: 'SimpleQueue[int]', workers: int
) -> FeatureRun:
    """Run one file with the ports of a free worker."""
    worker = free_workers.get()
    try:
        with tempfile.TemporaryDirectory(prefix='turmericyard-') as folder:
            return run_behave(feature, Path(folder), f'{worker}/{workers}')
    finally:
        free_workers.put(worker)


def run_behave(feature: Path, folder: Path, port_part: str) -> FeatureRun:
    """Run behave on one file and return its report, logs and output."""
    report = folder / 'report.json'
    logs = folder / 'logs.txt'
    finished = subprocess.run(
        (
            *(sys.executable, '-m', 'behave', '--no-capture'),
            *('--format', 'progress', '--outfile', str(folder / 'progress')),
            *('--format', FORMATTER, '--outfile', str(report), str(feature)),
        ),
        cwd=ROOT,
        env={
            **os.environ,
            'TURMERICYARD_PORT_PART': port_part,
            'TURMERICYARD_FAILED_LOGS': str(logs),
        },
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors='replace',
        check=False,
    )
    return FeatureRun(
        feature,
        read_report(report, feature),
        logs.read_text(errors='replace') if logs.exists() else '',
        finished.stdout,
        finished.returncode,
    )


def read_report(path: Path, feature: Path) -> list[Any]:
    """Return the report of one file.

    When it is missing, empty or not valid JSON, returns a report with one
    scenario that failed.
    """
    try:
        report = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError):
        report = None
    if isinstance(report, list) and report:
        return report
    missing = {
        'type': 'scenario',
        'name': f'{feature.name}: behave wrote no report',
        'location': str(feature),
        'status': 'error',
        'steps': [],
    }
    return [{'elements': [missing]}]


def join(results: list[FeatureRun], report: Path, logs: Path) -> None:
    """Write the joined report and, when there are any, the joined logs."""
    ordered = sorted(results, key=lambda each: each.feature)
    joined = [part for each in ordered for part in each.report]
    report.write_text(json.dumps(joined), encoding='utf-8')
    text = ''.join(each.logs for each in ordered)
    if text:
        logs.write_text(text, encoding='utf-8')


def main() -> int:
    """Run the features and return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--workers', type=int, default=5)
    parser.add_argument('--report', type=Path, required=True)
    parser.add_argument('--logs', type=Path, required=True)
    parser.add_argument('features', type=Path, nargs='*')
    args = parser.parse_args()
    features = find_features([path.resolve() for path in args.features])
    alone = [each for each in features if runs_alone(each)]
    together = [each for each in features if each not in alone]
    results = run_features(together, args.workers) + run_features(alone, 1)
    for finished in results:
        print(finished.output, end='')
    join(results, args.report, args.logs)
    return int(any(each.status for each in results))


if __name__ == '__main__':
    sys.exit(main())
