import pytest

from tests.known_red import KnownRed


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config.rootpath), "known-red")
