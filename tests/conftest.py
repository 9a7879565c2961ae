"""Registers the plugin for the tests listed in KNOWN-RED.txt."""

import pytest

from tests.known_red import KnownFailuresPlugin


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownFailuresPlugin(config.rootpath), "known-red")
