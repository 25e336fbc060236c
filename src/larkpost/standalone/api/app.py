"""The HTTP application of one daemon."""

from starlette.applications import Starlette

from larkpost.standalone.api.batches import BatchRoutes
from larkpost.standalone.api.inference import InferenceRoutes
from larkpost.standalone.api.operations import OperationRoutes
from larkpost.standalone.daemon import Daemon


def make_app(daemon: Daemon) -> Starlette:
    """Returns the application with all routes of the daemon."""
    groups = (InferenceRoutes(daemon), BatchRoutes(daemon), OperationRoutes(daemon))
    return Starlette(routes=[route for group in groups for route in group.routes()])
