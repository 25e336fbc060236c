"""Validation of request bodies and error responses, shared by all routes."""

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from starlette.requests import Request
from starlette.responses import Response

from larkpost.common.errors import InvalidRequestError, LarkpostError, Ran
from larkpost.standalone.api.schema import error_document
from larkpost.standalone.settings import describe_validation
from larkpost.standalone.telemetry import Telemetry

Document = TypeVar("Document", bound=BaseModel)
Endpoint = Callable[[Request], Awaitable[Response]]
JSON = "application/json"


def json_response(document: BaseModel, status: int = 200) -> Response:
    """Returns a response with the document as JSON."""
    return Response(document.model_dump_json(), status, media_type=JSON)


def error_response(error: LarkpostError) -> Response:
    """Returns an error response, with a Retry-After header if the error has a delay."""
    headers = {}
    if error.retry_after is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after))
    body = '{"error":' + error_document(error).model_dump_json() + "}"
    return Response(body, error.status, headers, media_type=JSON)


async def read_document(request: Request, kind: type[Document]) -> Document:
    """Reads and validates a request body.

    Raises:
        InvalidRequestError: the body is not a valid document; the message names each invalid field.
    """
    try:
        return kind.model_validate_json(await request.body())
    except ValidationError as error:
        raise InvalidRequestError(describe_validation(error)) from None


def with_errors(endpoint: Endpoint, telemetry: Telemetry) -> Endpoint:
    """Wraps an endpoint to return errors as responses; unexpected ones are also logged."""

    async def guarded(request: Request) -> Response:
        try:
            return await endpoint(request)
        except LarkpostError as error:
            return error_response(error)
        except Exception as error:
            telemetry.log_error(request.url.path, error)
            return error_response(LarkpostError(repr(error), ran=Ran.UNKNOWN))

    return guarded
