"""Run the tests of every package and print a summary line.

A failure of a test listed in KNOWN-RED.txt is printed but not counted.
"""

from __future__ import annotations

import concurrent.futures
import pathlib
import subprocess
import sys
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
REPORTS = ROOT / 'test-reports'
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
KNOWN_RED_LIMIT = 3


class PackageRun:
    """Run the tests of one package and read their report."""

    def __init__(self, tests: pathlib.Path) -> None:
        self.name = tests.parent.name
        self._tests = tests
        self._report = REPORTS / f'{self.name}.xml'
        self.output = ''
        self.exit_code = 0

    def run(self) -> PackageRun:
        """Run the tests in a separate process."""
        finished = subprocess.run(
            [
                sys.executable,
                '-m',
                'nose2',
                '-s',
                str(self._tests),
                '-t',
                str(self._tests),
                '--plugin',
                'nose2.plugins.junitxml',
                '--junit-xml',
                '--junit-xml-path',
                str(self._report),
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.output = finished.stdout
        self.exit_code = finished.returncode
        return self

    def results(self) -> dict[str, str]:
        """Return the outcome of each test by name."""
        if not self._report.exists():
            return {f'{self.name}: no report': 'failed'}
        outcome_by_name: dict[str, str] = {}
        for case in ElementTree.parse(self._report).iter('testcase'):
            name = f'{case.get("classname")}.{case.get("name")}'
            outcome_by_name[name] = _outcome(case)
        if self.exit_code and 'failed' not in outcome_by_name.values():
            outcome_by_name[f'{self.name}: exit {self.exit_code}'] = 'failed'
        return outcome_by_name


def _outcome(case: ElementTree.Element) -> str:
    if case.find('failure') is not None or case.find('error') is not None:
        return 'failed'
    if case.find('skipped') is not None:
        return 'skipped'
    return 'passed'


def _read_known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line]
    if len(lines) > KNOWN_RED_LIMIT:
        raise SystemExit(f'KNOWN-RED.txt has over {KNOWN_RED_LIMIT} lines.')
    return {line.split(',')[0].strip() for line in lines}


def main() -> int:
    """Run all packages in parallel and print the failures."""
    REPORTS.mkdir(exist_ok=True)
    for report in REPORTS.glob('*.xml'):
        report.unlink()
    folders = sorted(ROOT.glob('packages/*/tests'))
    folders += [ROOT / name / 'tests' for name in ('platform', 'tools')]
    runs = [PackageRun(folder) for folder in folders]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        finished = list(pool.map(PackageRun.run, runs))
    by_outcome: dict[str, list[str]] = {
        'passed': [],
        'failed': [],
        'skipped': [],
    }
    for run in finished:
        if run.exit_code:
            print(run.output)
        for name, outcome in run.results().items():
            by_outcome[outcome].append(name)
    known_red = _read_known_red()
    red = [name for name in by_outcome['failed'] if name in known_red]
    failed = [name for name in by_outcome['failed'] if name not in known_red]
    for name in red:
        print(f'known red: {name}')
    for name in failed:
        print(f'failed: {name}')
    skipped = len(by_outcome['skipped'])
    tail = f', {skipped} skipped' if skipped else ''
    print(f'{len(by_outcome["passed"])} passed, {len(failed)} failed{tail}')
    return 1 if failed or not by_outcome['passed'] else 0


if __name__ == '__main__':
    sys.exit(main())
