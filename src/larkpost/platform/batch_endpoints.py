"""HTTP endpoints for batches: submit a batch, read its results or one item's body, or end it.

Translates between HTTP and `larkpost.gateway.rollouts.service.BatchService`.
"""

from urllib.parse import unquote

import orjson

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import BatchId
from larkpost.gateway.blackboard.tenants import Caller, TenantName
from larkpost.gateway.memory.budget import MemoryPurpose
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.rollouts.model import ItemId
from larkpost.gateway.rollouts.service import BatchService
from larkpost.platform import names
from larkpost.platform.batch_documents import page_document, read_batch, read_position
from larkpost.platform.client_call import ClientCall
from larkpost.platform.client_response import ClientResponse

OK = 200
ACCEPTED = 202
BAD_REQUEST = 400
NOT_FOUND = 404
NOT_ALLOWED = 405
SUBMISSION_MEMORY_FACTOR = 3
"""Memory that a submission needs in addition to its body, as a multiple of the body's size: for the
decoded items, their rows, and the store calls that write the rows."""
MAX_LONG_POLL_SECONDS = 10.0
"""Maximum time for which a request for results is held."""


TOO_LARGE_RETRY_SECONDS = 5.0
"""``Retry-After`` for a batch that this daemon can never hold; another daemon may accept it."""


class BatchTooLargeError(LarkpostError):
    """The batch exceeds this daemon's memory limit; this daemon can never accept it."""

    code = "batch_too_large_here"
    status = 503
    remedy = "Split the batch, or ask a daemon on a machine with more memory."


class BatchEndpoints:
    """Serves the batch endpoints."""

    def __init__(self, admission: Admission, batches: BatchService) -> None:
        self._admission = admission
        self._batches = batches

    async def submit(
        self,
        call: ClientCall,
        response: ClientResponse,
        body: bytes | bytearray,
        tenant: TenantName | None,
    ) -> None:
        """Submits the batch that a request's body holds.

        Raises:
            LarkpostError: the batch is rejected.
        """
        if call.method != "POST":
            await response.send_whole(NOT_ALLOWED)
            return
        self.check_size(call, len(body))
        with call.memory.reserve(MemoryPurpose.SUBMISSIONS, len(body) * SUBMISSION_MEMORY_FACTOR):
            await self._submit(call, response, body, tenant)

    def check_size(self, call: ClientCall, size: int) -> None:
        """Checks that a batch with a body of ``size`` bytes could fit into memory.

        Raises:
            BatchTooLargeError: it could never fit.
        """
        needed = size * (1 + SUBMISSION_MEMORY_FACTOR)
        if not call.memory.fits_limit(needed):
            raise BatchTooLargeError(
                f"the batch takes {needed} bytes while it is read and stored",
                retry_after=TOO_LARGE_RETRY_SECONDS,
            )

    async def _submit(
        self,
        call: ClientCall,
        response: ClientResponse,
        body: bytes | bytearray,
        tenant: TenantName | None,
    ) -> None:
        try:
            spec = read_batch(call.request_id, call.host_name, call.path, body, tenant)
        except ValueError as error:
            await response.send_whole(BAD_REQUEST, str(error).encode())
            return
        await self._batches.submit(spec)
        await response.send_whole(ACCEPTED)

    async def serve(self, call: ClientCall, response: ClientResponse) -> None:
        """Serves a request that reads or ends a submitted batch.

        Raises:
            LarkpostError: the request cannot be served.
        """
        caller = self._admission.caller(call.request_id_text, call.host_name, call.key)
        if call.path.startswith(names.BATCH_PATH_PREFIX):
            await self._serve_batch(call, response, caller)
        elif call.path.startswith(names.ITEM_PATH_PREFIX) and call.method == "GET":
            batch = _batch_id_from_path(names.ITEM_PATH_PREFIX, call)
            item = call.query.get("id", [""])[0]
            body = await self._batches.body(batch, ItemId(item), caller)
            call.memory.reserve(MemoryPurpose.PAGES, len(body))
            await response.send_whole(OK, body)
        else:
            await response.send_whole(NOT_FOUND)

    async def _serve_batch(
        self, call: ClientCall, response: ClientResponse, caller: Caller
    ) -> None:
        batch = _batch_id_from_path(names.BATCH_PATH_PREFIX, call)
        if call.method == "GET":
            await self._read_results(call, response, batch, caller)
        elif call.method == "DELETE":
            await self._batches.end(batch, caller)
            await response.send_whole(OK)
        else:
            await response.send_whole(NOT_ALLOWED)

    async def _read_results(
        self, call: ClientCall, response: ClientResponse, batch: BatchId, caller: Caller
    ) -> None:
        try:
            position = read_position(call.query)
        except ValueError as error:
            await response.send_whole(BAD_REQUEST, str(error).encode())
            return
        wait_ms = call.int_header(names.WAIT_MS) or 0
        wait = min(wait_ms / 1000, MAX_LONG_POLL_SECONDS)
        page = await self._batches.read(batch, position, wait, caller)
        content = orjson.dumps(page_document(page))
        call.memory.reserve(MemoryPurpose.PAGES, len(content))
        await response.send_json(content)


def _batch_id_from_path(prefix: bytes, call: ClientCall) -> BatchId:
    """Returns the decoded batch id that follows ``prefix`` in the path."""
    return BatchId(unquote(call.path[len(prefix) :].decode("latin-1")))
