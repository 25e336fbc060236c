"""Runs coroutines of a test on virtual time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import async_solipsism


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to its end on a loop whose clock jumps from timer to timer."""
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
