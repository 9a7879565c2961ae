"""The adapter's framing and what it makes of bad input."""

import subprocess
import sys

import pytest


def run(text: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "thymedeck.benchlink"]
    return subprocess.run(command, input=text, capture_output=True, text=True, timeout=30)


def test_an_empty_batch_is_answered() -> None:
    done = run('{"wall_us":5,"input":[]}\n' * 2)
    assert done.stdout == '{"output":[]}\n' * 2
    assert done.returncode == 0


def test_unknown_kinds_and_instances_are_skipped() -> None:
    done = run('{"wall_us":5,"new":1,"input":[{"t":"NOVEL","i":1},{"t":"HANGUP","i":3,"req":9}]}\n')
    assert done.stdout == '{"output":[]}\n'


@pytest.mark.parametrize("line", ["what", "[]", '{"wall_us":5,"input":[{"t":"ACCEPT","i":1,"req":2}]}'])
def test_bad_lines_end_the_run_with_one_plain_line(line: str) -> None:
    done = run('{"wall_us":5,"input":[]}\n' + line + "\n")
    assert done.stdout == '{"output":[]}\n'
    assert done.returncode == 1
    assert done.stderr.startswith("line 2: ") and done.stderr.count("\n") == 1
