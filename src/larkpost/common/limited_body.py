"""Reads whole bodies of bounded length.

A server in trouble may send bytes without end, so no body is read into memory without a limit.
"""

import aiohttp

CHUNK_BYTES = 65536
"""Maximum bytes taken from the connection at a time."""


class OversizedBodyError(aiohttp.ClientError):
    """A body is longer than its limit; its connection is closed."""


async def read_limited(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the whole body of a response.

    Raises:
        OversizedBodyError: the body has more than ``max_bytes``.
    """
    body = bytearray()
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise OversizedBodyError(f"the body has more than {max_bytes} bytes")
    return bytes(body)
