"""The simulator adapter's framing, and the handling of malformed input by the adapter and by `serve`."""

import subprocess
import sys
from pathlib import Path

import pytest


def run_adapter(text: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "thymedeck.benchlink"]
    return subprocess.run(command, input=text, capture_output=True, text=True, timeout=30)


def test_an_empty_batch_gets_an_empty_answer() -> None:
    completed = run_adapter('{"wall_us":5,"input":[]}\n' * 2)
    assert completed.stdout == '{"output":[]}\n' * 2
    assert completed.returncode == 0


def test_unknown_kinds_and_instances_are_skipped() -> None:
    completed = run_adapter(
        '{"wall_us":5,"new":1,"input":[{"t":"NOVEL","i":1},{"t":"HANGUP","i":3,"req":9}]}\n'
    )
    assert completed.stdout == '{"output":[]}\n'


@pytest.mark.parametrize("line", ["what", "[]", '{"wall_us":5,"input":[{"t":"ACCEPT","i":1,"req":2}]}'])
def test_a_malformed_line_ends_the_adapter_with_a_one_line_message(line: str) -> None:
    completed = run_adapter('{"wall_us":5,"input":[]}\n' + line + "\n")
    assert completed.stdout == '{"output":[]}\n'
    assert completed.returncode == 1
    assert completed.stderr.startswith("line 2: ") and completed.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "text", ["what", "{}", '{"name":"b","listen":"x","discovery":"y:1","settings":{}}', None]
)
def test_a_malformed_configuration_ends_the_program_with_a_one_line_message(
    text: str | None, tmp_path: Path
) -> None:
    file = tmp_path / "configuration.json"
    if text is not None:
        file.write_text(text)
    command = [sys.executable, "-m", "thymedeck", "serve", "--config", str(file)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert completed.returncode == 2
    assert completed.stderr.startswith(f"thymedeck: {file}: ") and completed.stderr.count("\n") == 1
