"""Authorizes calls by the current configuration, and determines their route and tenant.

A call is rejected permanently (404, 401) only by a configuration that is known to be recent. A
daemon whose configuration may be outdated still serves the routes and keys that it knows. It
answers other calls with 503, so that the client tries another daemon, as their route or key may
have been added meanwhile.
"""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.errors import LarkpostError, Ran, StoppedError, StoppingError
from larkpost.common.ids import RegionId
from larkpost.gateway.blackboard.configuration import Configuration, ConfigurationState, Route
from larkpost.gateway.blackboard.tenants import UNRESTRICTED_CALLER, Caller, KeyDigest, TenantName
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Metrics

STOPPING_RETRY_SECONDS = 0.1
"""Retry delay sent by a daemon that stops; its clients' new connections lead to other daemons."""
RETRY_AFTER_SECONDS = 0.3
"""Retry delay sent by a daemon without a recent configuration; other daemons usually have one."""


class NotConfiguredError(LarkpostError):
    """This daemon has no configuration, or only an outdated one; the request did not run."""

    code = "not_configured"
    status = 503
    remedy = "Ask again after the time in Retry-After; another daemon may know it."


class NoRouteError(LarkpostError):
    """The current configuration has no route for the host and path."""

    code = "no_route"
    status = 404
    remedy = "Check the host and the path, or add a route to the configuration."


class UnknownKeyError(LarkpostError):
    """The call has no key that is in the current configuration."""

    code = "unknown_key"
    status = 401
    remedy = "Send one of the tenant's keys in the current configuration."


@dataclass(frozen=True, slots=True)
class AdmittedCall:
    """An authorized call.

    Attributes:
        tenant: tenant of the call; None on a public route, or if no tenants are configured.
        regions: the only regions in which it may be served; None for all.
    """

    route: Route
    tenant: TenantName | None
    regions: frozenset[RegionId] | None = None


class Admission:
    """Authorizes calls by the current configuration.

    Args:
        configuration_age: returns the seconds since the configuration was last known to be the
            newest.
        apply_time: returns the seconds within which a new configuration must be applied; an older
            configuration rejects no call permanently.
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
        """Returns the route and the tenant of a request.

        Raises:
            NotConfiguredError: no configuration, or no recent one, is known.
            NoRouteError: there is no route.
            UnknownKeyError: the route requires a key, and this one is missing or unknown.
        """
        configuration = self._current_configuration(request_id)
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
        error = UnknownKeyError(f"route {route.name} requires a valid key")
        raise self._refusal(error, request_id, configuration)

    def caller(self, request_id: str, host: str, key: KeyDigest | None) -> Caller:
        """Returns the caller of a call about a batch.

        Raises:
            NotConfiguredError: no configuration, or no recent one, is known.
            UnknownKeyError: the call requires a key, and this one is missing or unknown.
        """
        configuration = self._current_configuration(request_id)
        if configuration.tenants is None:
            return UNRESTRICTED_CALLER
        tenant = configuration.tenant_of(key)
        if tenant is not None:
            return Caller(tenant.name, is_restricted=True)
        route = configuration.first_batch_route(host)
        if route is not None and route.is_public:
            return Caller(None, is_restricted=True)
        error = UnknownKeyError("calls about batches require a valid key")
        raise self._refusal(error, request_id, configuration)

    def refusal_while_stopping(self, request_id: str) -> LarkpostError:
        """Returns the error for a request that this stopping daemon can no longer finish."""
        error = StoppingError(
            "this daemon is stopping, and the request might not end in time",
            retry_after=STOPPING_RETRY_SECONDS,
        )
        return self._refusal(error, request_id, None)

    def failure_at_stop(self, request_id: str) -> LarkpostError:
        """Returns the error for a request that had no response when the shutdown ended."""
        error = StoppedError("this daemon has stopped before a response began", ran=Ran.UNKNOWN)
        return self._refusal(error, request_id, None)

    def _current_configuration(self, request_id: str) -> Configuration:
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
        """Returns the error to respond with, and logs the refusal."""
        age = self._configuration_age()
        if configuration is not None and age > self._apply_time():
            error = NotConfiguredError(
                f"{error.code}, but this daemon's configuration is {age:.1f} s old",
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
