"""Checks requests before a node serves them."""

import dataclasses

from cicadahook.core import event_sequence
from cicadahook.core import forwarding
from cicadahook.core import picture_age
from cicadahook.core import retry_budget
from cicadahook.core import routes
from cicadahook.core import tenants
from cicadahook.net import active_request
from cicadahook.net import crash_guard as crash_guard_lib
from cicadahook.net import refusal_planner
from cicadahook.net import tenant_charges


class RequestAdmission:
    """Finds route, service, tenant and deadline of requests.

    Attributes:
        components: what requests are forwarded with.
        crash_guard: keeps requests that crash upstreams from them.
        configuration: the latest configuration; None before the first.
        budgets: retry budget of each service, by its name.
        charges: charges requests to their tenants.
    """

    def __init__(
        self,
        node: str,
        components: active_request.ForwarderComponents,
        crash_guard: crash_guard_lib.CrashGuard,
    ) -> None:
        self.components = components
        self.crash_guard = crash_guard
        self.configuration: routes.Configuration | None = None
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.charges = tenant_charges.TenantCharges(
            node, components.allowances, components.clock
        )

    def apply_configuration(self, configuration: routes.Configuration) -> None:
        """Replace the configuration by a newer one."""
        self.configuration = configuration
        self.charges.apply(configuration.tenants)

    @property
    def needs_keys(self) -> bool:
        """Whether callers need keys, but for routes without."""
        configuration = self.configuration
        return configuration is not None and configuration.tenants.is_enforced

    def find_route(
        self, host: str, path: str
    ) -> tuple[routes.Configuration, routes.Route]:
        """Return the configuration and the route of a request.

        Raises:
            errors.RefusalError: there is none.
        """
        configuration = self.configuration
        if configuration is None:
            raise active_request.create_refusal(
                "no_configuration", 503, refusal_planner.RETRY_AFTER
            )
        route = configuration.find_route(host, path)
        if route is None:
            raise active_request.create_refusal("no_route", 404)
        return configuration, route

    def authenticate(
        self, host: str, path: str, digest: str
    ) -> tenants.Tenant | None:
        """Return the tenant of a request, or None if it needs none.

        Args:
            host: value of the `Host` header.
            path: path and query.
            digest: digest of the caller's key; empty if it sent none.

        Raises:
            errors.RefusalError: there is no route, or the caller has no key
                for it.
        """
        configuration, route = self.find_route(host, path)
        return tenants.find_tenant(
            configuration.tenants,
            digest,
            is_anonymous=route.is_anonymous,
            is_stale=self._is_stale(),
        )

    def _is_stale(self) -> bool:
        """Whether a newer configuration may exist.

        Nodes of older builds do not tell the age of what they pass on.
        """
        age = self.components.inventory.age
        return age is not None and (
            age.confirmed is None or age.exceeds(picture_age.MAX_FOLLOWED_AGE)
        )

    def admit(
        self, request: forwarding.CallerRequest, sink: active_request.AnswerSink
    ) -> active_request.ActiveRequest:
        """Validate a request and return it with its route and deadline.

        Raises:
            errors.RefusalError: the request must not be served.
        """
        configuration, route = self.find_route(request.host, request.path)
        name = route.draw_service(self.components.generator)
        service = configuration.services.get(name)
        if service is None:
            raise active_request.create_refusal(
                "unknown_service", 503, refusal_planner.RETRY_AFTER
            )
        _validate_generation(request, service)
        active = self._create_active(request, sink, route, service)
        self.crash_guard.check(active.traits)
        tenant = configuration.tenants.by_name.get(request.tenant)
        active.account = active_request.RequestAccount(
            tenant,
            self.charges.charge(tenant, request.generation),
            configuration.tenants,
        )
        now = self.components.clock.now()
        self.get_budget(name).record_request(now)
        if request.generation is not None:
            self.components.demand_tracker.record_request(
                name,
                request.generation.model,
                self.components.balancer.estimate_work(request.generation),
                now,
            )
        return active

    def _create_active(
        self,
        request: forwarding.CallerRequest,
        sink: active_request.AnswerSink,
        route: routes.Route,
        service: routes.Service,
    ) -> active_request.ActiveRequest:
        """Return a request with its deadline."""
        time_limit = route.timeout
        if request.caller_time_limit is not None:
            time_limit = min(time_limit, request.caller_time_limit)
        return active_request.ActiveRequest(
            request,
            sink,
            route,
            service,
            request.received + time_limit - active_request.ANSWER_MARGIN,
            sequence=event_sequence.EventSequence.create_after(
                request.last_event_id
            ),
        )

    def settle(self, active: active_request.ActiveRequest) -> None:
        """Give back what was charged for a request that was not run."""
        charge = active.account.charge
        if charge is not None and not active.possible_runs:
            self.charges.refund(charge)

    def check_identity(self, active: active_request.ActiveRequest) -> None:
        """Refuse a request whose key was withdrawn or moved while it waited.

        One that an upstream may have run already goes on.

        Raises:
            errors.RefusalError: the caller has no key any more, or the upstream
                would be told another tenant.
        """
        configuration = self.configuration
        if configuration is None or active.possible_runs or active.has_begun:
            return
        registry, known = configuration.tenants, active.account.registry
        if registry is known:
            return
        tenant = tenants.find_tenant(
            registry,
            active.request.key_digest,
            is_anonymous=active.route.is_anonymous,
            is_stale=self._is_stale(),
        )
        name = tenant.name if tenant else ""
        is_same = registry.is_enforced == known.is_enforced
        if not is_same or name != active.request.tenant:
            raise active_request.create_refusal(
                "tenant_changed", 503, refusal_planner.RETRY_AFTER
            )
        active.account = dataclasses.replace(
            active.account, tenant=tenant, registry=registry
        )

    def get_budget(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self.components.budget_mode)
            self.budgets[service] = budget
        return budget


def _validate_generation(
    request: forwarding.CallerRequest, service: routes.Service
) -> None:
    """Refuse a request that no engine of its service could serve.

    Raises:
        errors.RefusalError: the model is missing or unknown, or the adapter is
            unknown.
    """
    generation = request.generation
    if service.engines is None:
        return
    if generation is None:
        raise active_request.create_refusal("no_model_named", 400)
    model = service.engines.models.get(generation.model)
    if model is None:
        raise active_request.create_refusal(
            "unknown_model", 503, refusal_planner.RETRY_AFTER
        )
    if generation.adapter and generation.adapter not in model.adapters:
        raise active_request.create_refusal(
            "unknown_adapter", 503, refusal_planner.RETRY_AFTER
        )
