"""Decides from the configuration in force whether a call may be made, and on whose behalf.

A call is refused for good (404, 401) only by a configuration that is known to be recent. A daemon
that has not heard of the configuration for a while goes on serving the routes and keys that it
knows, but what it does not know may have been added meanwhile: it sends the caller to another
daemon (503) rather than say that there is no such route or key.
"""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import RegionId
from larkpost.gateway.blackboard.configuration import Configuration, ConfigurationState, Route
from larkpost.gateway.blackboard.tenants import UNRESTRICTED_CALLER, Caller, KeyDigest, TenantName
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Metrics

RETRY_AFTER_SECONDS = 0.3
"""When to come back to a daemon that lacks the configuration: others usually have it."""


class NotConfiguredError(LarkpostError):
    """This daemon does not know the configuration, or not a recent one; nothing has run."""

    code = "not_configured"
    status = 503
    remedy = "Ask again after the time in Retry-After; another daemon may know it."


class NoRouteError(LarkpostError):
    """The configuration in force has no route for the host and path."""

    code = "no_route"
    status = 404
    remedy = "Check the host and the path, or add a route to the configuration."


class UnknownKeyError(LarkpostError):
    """The call has no key that the configuration in force holds."""

    code = "unknown_key"
    status = 401
    remedy = "Send one of the tenant's keys that the configuration in force holds."


@dataclass(frozen=True, slots=True)
class AdmittedCall:
    """A call that may be made.

    Attributes:
        tenant: whose call it is; None on a public route, or where there are no tenants.
        regions: the only regions in which it may be served; None for all.
    """

    route: Route
    tenant: TenantName | None
    regions: frozenset[RegionId] | None = None


class Admission:
    """Admits calls by the configuration in force.

    Args:
        configuration_age: returns the seconds since the configuration was last known to be the
            newest.
        apply_time: returns the seconds within which a new configuration is to be in force; a
            configuration that is older refuses nobody for good.
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        configuration_age: Callable[[], float],
        apply_time: Callable[[], float],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._configuration_age = configuration_age
        self._apply_time = apply_time
        self._log = log
        self._metrics = metrics

    def admit(self, request_id: str, host: str, path: bytes, key: KeyDigest | None) -> AdmittedCall:
        """Returns the route of a request and whose it is.

        Raises:
            NotConfiguredError: no configuration, or no recent one, is known.
            NoRouteError: there is no route.
            UnknownKeyError: the route needs a key, and this is none.
        """
        configuration = self._known(request_id)
        route = configuration.match(host, path)
        if route is None:
            raise self._refusal(NoRouteError(f"no route for {host}"), request_id, configuration)
        tenant = configuration.tenant_of(key)
        if tenant is not None:
            return AdmittedCall(
                route, tenant.name, configuration.allowed_regions(tenant.name, route)
            )
        if configuration.tenants is None or route.is_public:
            return AdmittedCall(route, None, route.regions)
        error = UnknownKeyError(f"route {route.name} needs a key that is in force")
        raise self._refusal(error, request_id, configuration)

    def caller(self, request_id: str, host: str, key: KeyDigest | None) -> Caller:
        """Returns on whose behalf a call about a batch is made.

        Raises:
            NotConfiguredError: no configuration, or no recent one, is known.
            UnknownKeyError: the call needs a key, and this is none.
        """
        configuration = self._known(request_id)
        if configuration.tenants is None:
            return UNRESTRICTED_CALLER
        tenant = configuration.tenant_of(key)
        if tenant is not None:
            return Caller(tenant.name, is_restricted=True)
        route = configuration.first_batch_route(host)
        if route is not None and route.is_public:
            return Caller(None, is_restricted=True)
        error = UnknownKeyError("calls about batches need a key that is in force")
        raise self._refusal(error, request_id, configuration)

    def _known(self, request_id: str) -> Configuration:
        configuration = self._configuration.current
        if configuration is None:
            error = NotConfiguredError(
                "no configuration is known yet", retry_after=RETRY_AFTER_SECONDS
            )
            raise self._refusal(error, request_id, None)
        return configuration

    def _refusal(
        self, error: LarkpostError, request_id: str, configuration: Configuration | None
    ) -> LarkpostError:
        """Returns the error to respond with, and logs what it was decided on."""
        age = self._configuration_age()
        if configuration is not None and age > self._apply_time():
            error = NotConfiguredError(
                f"{error.code}, but the configuration known here is {age:.1f} s old",
                retry_after=RETRY_AFTER_SECONDS,
            )
        self._metrics.count(Count.DENIALS, error.code)
        self._log.record(
            Event.REQUEST_DENIED,
            request=request_id,
            reason=error.code,
            configuration=configuration.version if configuration is not None else None,
            age=round(age, 3),
        )
        return error
