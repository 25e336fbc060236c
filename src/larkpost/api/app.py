"""The HTTP application of one daemon."""

from starlette.applications import Starlette

from larkpost.api.batches import BatchRoutes
from larkpost.api.inference import InferenceRoutes
from larkpost.api.operations import OperationRoutes
from larkpost.daemon import Daemon


def make_app(daemon: Daemon) -> Starlette:
    """Returns the application."""
    groups = (InferenceRoutes(daemon), BatchRoutes(daemon), OperationRoutes(daemon))
    return Starlette(routes=[route for group in groups for route in group.routes()])
