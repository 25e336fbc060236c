"""Reads the body of a server's response, as far as it may be held."""

from collections import deque
from collections.abc import AsyncIterator

from larkpost.gateway.memory.budget import Reservation


async def read_until_limit(
    chunks: AsyncIterator[bytes], reservation: Reservation
) -> tuple[deque[bytes], bool]:
    """Reads a body; returns what was read, and whether that is all of it.

    Reading ends early once the body is larger than one answer may be now. What was read is reserved
    then, and released if the body breaks off.

    Raises:
        BrokenResponseError: the body broke off.
    """
    buffered: deque[bytes] = deque()
    try:
        async for chunk in chunks:
            is_share = reservation.fits_answer_limit(len(chunk))
            reservation.force_grow(len(chunk))
            buffered.append(chunk)
            if not is_share:
                return buffered, False
    except BaseException:
        reservation.release()
        raise
    return buffered, True


def join_chunks(chunks: deque[bytes]) -> bytes | bytearray:
    """Joins the chunks of a body and drops each as it goes, so that no body is held twice."""
    if len(chunks) <= 1:
        return chunks.popleft() if chunks else b""
    body = bytearray()
    while chunks:
        body += chunks.popleft()
    return body
