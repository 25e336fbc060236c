"""Runs coroutines of tests on virtual time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import async_solipsism


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to completion on an event loop whose clock skips to the next timer."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.close()
