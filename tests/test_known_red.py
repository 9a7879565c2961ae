"""What KNOWN-RED.txt does to a run: plays small suites with this very conftest."""

from pathlib import Path

import pytest

from tests.known_red import MOST, NAME

pytest_plugins = "pytester"

SUITE = """
import pytest

@pytest.mark.parametrize("side", ["a", "ab"])
def test_sides(side):
    assert side == "none"

@pytest.fixture
def broken():
    raise OSError("no set-up")

@pytest.fixture
def left():
    yield
    raise OSError("not taken down")

def test_set_up(broken): pass
def test_taken_down(left): pass
def test_skipped(): pytest.skip("not here")
def test_fine(): pass
"""
RED = {"test_sides[a]": 1, "test_sides[ab]": 1, "test_set_up": 1, "test_taken_down": 1}
NO_TEST_FAILED, TESTS_FAILED, WRONG_USE = pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED, 4


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    folder = pytester.mkdir("tests")
    (folder / "test_one.py").write_text(SUITE)
    (folder / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    pytester.makeini("[pytest]\ntestpaths = tests\naddopts = -p no:hypothesispytest\n")
    return pytester


def lists(suite: pytest.Pytester, *lines: str) -> None:
    (suite.path / NAME).write_text("".join(f"{line}\n" for line in lines))


def line(test: str) -> str:
    return f"tests/test_one.py::{test} | it is broken | 32"


def without(*tests: str) -> list[str]:
    """Deselects those red tests that are not looked at."""
    return [f"--deselect=tests/test_one.py::{test}" for test in RED if test not in tests]


@pytest.mark.parametrize("listed", [["test_sides[a]", "test_sides[ab]", "test_set_up"], ["test_taken_down"]])
def test_a_run_passes_over_what_is_listed_and_prints_it(suite: pytest.Pytester, listed: list[str]) -> None:
    """Failures in the test, its set-up and its taking down alike."""
    lists(suite, *map(line, listed))
    ran = suite.runpytest("-q", *without(*listed))
    assert ran.ret == NO_TEST_FAILED
    assert ran.parseoutcomes()["xfailed"] == len(listed)
    ran.stdout.fnmatch_lines([f"failed: tests/test_one.py::{one.replace('[', '[[]')} | *" for one in listed])


@pytest.mark.parametrize("text", [None, "", "\n"])
def test_without_a_list_every_failure_fails_the_run(suite: pytest.Pytester, text: str | None) -> None:
    if text is not None:
        (suite.path / NAME).write_text(text)
    ran = suite.runpytest("-q")
    assert ran.ret == TESTS_FAILED
    outcomes = ran.parseoutcomes()
    assert (outcomes["failed"], outcomes["errors"], outcomes.get("xfailed", 0)) == (2, 2, 0)
    ran.stdout.no_fnmatch_line(f"*{NAME}*")
    assert suite.runpytest("-q", *without()).ret == NO_TEST_FAILED


def test_what_is_not_listed_fails_the_run(suite: pytest.Pytester) -> None:
    """A listed id is the whole id: no prefix of another."""
    lists(suite, line("test_sides[a]"))
    ran = suite.runpytest("-q", *without("test_sides[a]", "test_sides[ab]"))
    assert ran.ret == TESTS_FAILED
    assert (ran.parseoutcomes()["failed"], ran.parseoutcomes()["xfailed"]) == (1, 1)


@pytest.mark.parametrize("test", ["test_fine", "test_skipped"])
def test_a_listed_test_that_does_not_fail_fails_the_run(suite: pytest.Pytester, test: str) -> None:
    lists(suite, line(test))
    ran = suite.runpytest("-q", *without())
    assert ran.ret == TESTS_FAILED
    ran.stdout.fnmatch_lines([f"*{NAME} lists *{test}, which does not fail*", f"did not fail: *{test} | *"])


@pytest.mark.parametrize("test", ["test_gone", "test_sides"])
def test_a_listed_test_that_is_not_there_fails_a_run_of_all(suite: pytest.Pytester, test: str) -> None:
    lists(suite, line(test))
    ran = suite.runpytest("-q", *without())
    assert ran.ret == WRONG_USE
    ran.stderr.fnmatch_lines([f"*{NAME}: there is no test tests/test_one.py::{test}"])
    ran = suite.runpytest("-q", "tests/test_one.py::test_fine")
    assert ran.ret == NO_TEST_FAILED
    ran.stdout.fnmatch_lines([f"not run: tests/test_one.py::{test} | *"])


FOUR = [line(test) for test in RED]
MALFORMED = {
    "no issue": ["tests/test_one.py::test_fine | it is broken"],
    "no cause": ["tests/test_one.py::test_fine |  | 32"],
    "no number": ["tests/test_one.py::test_fine | it is broken | soon"],
    "no issue's number": ["tests/test_one.py::test_fine | it is broken | 0"],
    "no test": ["tests/test_one.py | it is broken | 32"],
    "remark": ["# nothing"],
    "twice": [line("test_fine"), line("test_fine")],
    "one too many": FOUR,
}


@pytest.mark.parametrize("lines", MALFORMED.values(), ids=MALFORMED.keys())
def test_a_malformed_or_long_list_fails_the_run(suite: pytest.Pytester, lines: list[str]) -> None:
    assert len(FOUR) == MOST + 1
    lists(suite, *lines)
    for words in ([], ["tests/test_one.py::test_fine"]):
        ran = suite.runpytest("-q", *words)
        assert ran.ret == WRONG_USE
        ran.stderr.fnmatch_lines([f"*{NAME}: *"])
