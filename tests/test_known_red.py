"""The effect of KNOWN-RED.txt on a test run, shown with a small suite that uses the project's conftest.py."""

from pathlib import Path

import pytest

from tests.known_red import LIST_FILE, MAX_ENTRIES

pytest_plugins = "pytester"

SUITE = """
import pytest

@pytest.mark.parametrize("side", ["a", "ab"])
def test_sides(side):
    assert side == "none"

@pytest.fixture
def broken_setup():
    raise OSError("setup failed")

@pytest.fixture
def broken_teardown():
    yield
    raise OSError("teardown failed")

def test_setup_error(broken_setup): pass
def test_teardown_error(broken_teardown): pass
def test_skipped(): pytest.skip("not here")
def test_fine(): pass
"""
FAILING_TESTS = {"test_sides[a]": 1, "test_sides[ab]": 1, "test_setup_error": 1, "test_teardown_error": 1}
ALL_PASSED, TESTS_FAILED, USAGE_ERROR = pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED, 4


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    folder = pytester.mkdir("tests")
    (folder / "test_one.py").write_text(SUITE)
    (folder / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    pytester.makeini("[pytest]\ntestpaths = tests\naddopts = -p no:hypothesispytest\n")
    return pytester


def write_list(suite: pytest.Pytester, *entries: str) -> None:
    (suite.path / LIST_FILE).write_text("".join(f"{entry}\n" for entry in entries))


def entry(test: str) -> str:
    return f"tests/test_one.py::{test} | it is broken | 32"


def deselect_failing_except(*tests: str) -> list[str]:
    """Returns the options that deselect all failing tests but these."""
    return [f"--deselect=tests/test_one.py::{test}" for test in FAILING_TESTS if test not in tests]


@pytest.mark.parametrize(
    "listed", [["test_sides[a]", "test_sides[ab]", "test_setup_error"], ["test_teardown_error"]]
)
def test_listed_failures_are_printed_and_do_not_fail_the_run(
    suite: pytest.Pytester, listed: list[str]
) -> None:
    """Also failures of the setup and the teardown."""
    write_list(suite, *map(entry, listed))
    result = suite.runpytest("-q", *deselect_failing_except(*listed))
    assert result.ret == ALL_PASSED
    assert result.parseoutcomes()["xfailed"] == len(listed)
    result.stdout.fnmatch_lines(
        [f"failed: tests/test_one.py::{test.replace('[', '[[]')} | *" for test in listed]
    )


@pytest.mark.parametrize("text", [None, "", "\n"])
def test_without_a_list_every_failure_fails_the_run(suite: pytest.Pytester, text: str | None) -> None:
    if text is not None:
        (suite.path / LIST_FILE).write_text(text)
    result = suite.runpytest("-q")
    assert result.ret == TESTS_FAILED
    outcomes = result.parseoutcomes()
    assert (outcomes["failed"], outcomes["errors"], outcomes.get("xfailed", 0)) == (2, 2, 0)
    result.stdout.no_fnmatch_line(f"*{LIST_FILE}*")
    assert suite.runpytest("-q", *deselect_failing_except()).ret == ALL_PASSED


def test_a_failure_that_is_not_listed_fails_the_run(suite: pytest.Pytester) -> None:
    """Entries are complete node ids: test_sides[a] does not cover test_sides[ab]."""
    write_list(suite, entry("test_sides[a]"))
    result = suite.runpytest("-q", *deselect_failing_except("test_sides[a]", "test_sides[ab]"))
    assert result.ret == TESTS_FAILED
    assert (result.parseoutcomes()["failed"], result.parseoutcomes()["xfailed"]) == (1, 1)


@pytest.mark.parametrize("test", ["test_fine", "test_skipped"])
def test_a_listed_test_that_does_not_fail_fails_the_run(suite: pytest.Pytester, test: str) -> None:
    write_list(suite, entry(test))
    result = suite.runpytest("-q", *deselect_failing_except())
    assert result.ret == TESTS_FAILED
    result.stdout.fnmatch_lines(
        [f"*{LIST_FILE} lists *{test}, which does not fail*", f"did not fail: *{test} | *"]
    )


@pytest.mark.parametrize("test", ["test_gone", "test_sides"])
def test_a_listed_test_that_does_not_exist_fails_a_run_of_all_tests(
    suite: pytest.Pytester, test: str
) -> None:
    write_list(suite, entry(test))
    result = suite.runpytest("-q", *deselect_failing_except())
    assert result.ret == USAGE_ERROR
    result.stderr.fnmatch_lines([f"*{LIST_FILE}: there is no test tests/test_one.py::{test}"])
    result = suite.runpytest("-q", "tests/test_one.py::test_fine")
    assert result.ret == ALL_PASSED
    result.stdout.fnmatch_lines([f"not run: tests/test_one.py::{test} | *"])


TOO_MANY = [entry(test) for test in FAILING_TESTS]
MALFORMED = {
    "no issue": ["tests/test_one.py::test_fine | it is broken"],
    "no cause": ["tests/test_one.py::test_fine |  | 32"],
    "no number": ["tests/test_one.py::test_fine | it is broken | soon"],
    "zero as number": ["tests/test_one.py::test_fine | it is broken | 0"],
    "no test": ["tests/test_one.py | it is broken | 32"],
    "comment": ["# nothing"],
    "twice": [entry("test_fine"), entry("test_fine")],
    "one too many": TOO_MANY,
}


@pytest.mark.parametrize("lines", MALFORMED.values(), ids=MALFORMED.keys())
def test_a_malformed_or_long_list_fails_the_run(suite: pytest.Pytester, lines: list[str]) -> None:
    assert len(TOO_MANY) == MAX_ENTRIES + 1
    write_list(suite, *lines)
    for arguments in ([], ["tests/test_one.py::test_fine"]):
        result = suite.runpytest("-q", *arguments)
        assert result.ret == USAGE_ERROR
        result.stderr.fnmatch_lines([f"*{LIST_FILE}: *"])
