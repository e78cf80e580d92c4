"""Runs the tests of this package on the event loop that the daemon uses."""

import asyncio
from collections.abc import Callable, Mapping

import pytest
import uvloop


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> Mapping[str, Callable[[], asyncio.AbstractEventLoop]]:
    return {"uvloop": uvloop.new_event_loop}
