"""Reads the body of a server's response, up to the memory limit for one response."""

from collections import deque
from collections.abc import AsyncIterator

from larkpost.gateway.memory.budget import Reservation


async def read_until_limit(
    chunks: AsyncIterator[bytes], reservation: Reservation
) -> tuple[deque[bytes], bool]:
    """Reads a body; returns the chunks read, and whether the body is complete.

    Stops early once the body exceeds the current memory share of one response. The chunks read stay
    reserved, and are released if the body is cut off.

    Raises:
        BrokenResponseError: the body was cut off.
    """
    buffered: deque[bytes] = deque()
    try:
        async for chunk in chunks:
            fits = reservation.fits_response_limit(len(chunk))
            reservation.force_grow(len(chunk))
            buffered.append(chunk)
            if not fits:
                return buffered, False
    except BaseException:
        reservation.release()
        raise
    return buffered, True


def join_chunks(chunks: deque[bytes]) -> bytes | bytearray:
    """Joins the chunks of a body; drops each one after copying it, to avoid a second full copy."""
    if len(chunks) <= 1:
        return chunks.popleft() if chunks else b""
    body = bytearray()
    while chunks:
        body += chunks.popleft()
    return body
