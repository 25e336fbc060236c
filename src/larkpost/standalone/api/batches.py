"""HTTP routes for trainers: batches and policy versions."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from larkpost.common.errors import InvalidRequestError
from larkpost.common.ids import BatchId, PolicyId
from larkpost.standalone.api.responses import Endpoint, json_response, read_document, with_errors
from larkpost.standalone.api.schema import BatchDocument, PullDocument, expand_ranges, page_document
from larkpost.standalone.daemon import Daemon


class BatchRoutes:
    """Serves ``/v1/batches`` and ``/v1/policies``."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    def _guard(self, endpoint: Endpoint) -> Endpoint:
        return with_errors(endpoint, self._daemon.telemetry)

    def routes(self) -> list[Route]:
        """Returns the routes."""
        batch = "/v1/batches/{batch}"
        version = "/v1/policies/{policy}/versions/{version:int}"
        return [
            Route(batch, self._guard(self._open), methods=["PUT"]),
            Route(batch, self._guard(self._close), methods=["DELETE"]),
            Route(batch + "/pull", self._guard(self._pull), methods=["POST"]),
            Route(version, self._guard(self._announce), methods=["PUT"]),
        ]

    async def _open(self, request: Request) -> Response:
        document = await read_document(request, BatchDocument)
        spec = document.to_spec(BatchId(request.path_params["batch"]))
        await self._daemon.batches.open(spec, expand_ranges(document.held))
        return Response(status_code=204)

    async def _close(self, request: Request) -> Response:
        await self._daemon.batches.close(BatchId(request.path_params["batch"]))
        return Response(status_code=204)

    async def _pull(self, request: Request) -> Response:
        document = await read_document(request, PullDocument)
        batch = BatchId(request.path_params["batch"])
        page = await self._daemon.batches.pull(document.to_pull(batch))
        samples_per_prompt = self._daemon.batches.samples_per_prompt(batch)
        return json_response(page_document(batch, page, samples_per_prompt))

    async def _announce(self, request: Request) -> Response:
        version = request.path_params["version"]
        if version < 1:
            raise InvalidRequestError(f"the version must be at least 1, not {version}")
        policy = PolicyId(request.path_params["policy"])
        self._daemon.directory.announce_version(policy, version)
        return Response(status_code=204)
