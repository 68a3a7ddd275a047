"""Findings about a configuration of the platform, in the core's terms."""

from collections import Counter
from collections.abc import Callable, Iterator

from turmericyard_operator.checking.findings import (
    Finding,
    Rule,
    error,
    warning,
)
from turmericyard_ports.configuration import (
    Configuration,
    EngineTraits,
    Route,
)
from turmericyard_ports.settings import Bounds

#: Share of the latency target after which a node gives up an attempt of an
#: idempotent call, as `ATTEMPT_TIMEOUT_SHARE` of the node has it.
ATTEMPT_SHARE = 0.7


def find_in_configuration(
    configuration: Configuration, bounds: Bounds
) -> tuple[Finding, ...]:
    """Return the findings of all checks."""
    return (
        *(found for check in CHECKS for found in check(configuration)),
        *check_attempts(configuration, bounds),
    )


def check_names(configuration: Configuration) -> Iterator[Finding]:
    """Names of routes and workspaces are unique."""
    names = {
        'route': [route.name for route in configuration.routes],
        'workspace': [each.name for each in configuration.workspaces],
    }
    for kind, found in names.items():
        for name, times in Counter(found).items():
            if times > 1:
                yield error(
                    Rule.VALUE,
                    f'{kind} {name}',
                    f'{times} have this name: give each its own',
                )


def check_matches(configuration: Configuration) -> Iterator[Finding]:
    """A request can reach each route.

    The longest prefix of a host is chosen, the first of equal ones.
    """
    first: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        owner = first.setdefault((route.host, route.prefix), route.name)
        if owner is not route.name and owner != route.name:
            yield error(
                Rule.NEVER_MATCHES,
                f'route {route.name}',
                f'route {owner} before it has the same host and prefix'
                f' {route.prefix}: change one of them',
            )
        if not route.host or not route.prefix.startswith('/'):
            yield error(
                Rule.NEVER_MATCHES,
                f'route {route.name}',
                f'no request has the host {route.host!r} and a path that'
                f' begins with {route.prefix!r}: name a host, and a prefix'
                " that begins with '/'",
            )


def check_targets(configuration: Configuration) -> Iterator[Finding]:
    """A route has services that exist, with weights above 0."""
    for route in configuration.routes:
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0 or min(weights) < 0:
            yield error(
                Rule.CONTRADICTION,
                f'route {route.name}',
                f'the weights of its services are {weights}: none may be below'
                ' 0, and their sum must be above 0',
            )
        elif not all(weights):
            yield warning(
                Rule.NEVER_MATCHES,
                f'route {route.name}',
                f'the weights of its services are {weights}: one with the'
                ' weight 0 gets no request of this route',
            )
        yield from check_target_names(configuration, route)


def check_target_names(
    configuration: Configuration, route: Route
) -> Iterator[Finding]:
    """The services of a route exist."""
    for target in route.targets:
        if target.service not in configuration.services:
            yield error(
                Rule.REFERENCE,
                f'route {route.name}',
                f'the service {target.service!r} does not exist: define it, or'
                ' name another',
            )


def check_services(configuration: Configuration) -> Iterator[Finding]:
    """A service is named by a route, and its limits are usable."""
    named = {
        target.service
        for route in configuration.routes
        for target in route.targets
    }
    for name, service in configuration.services.items():
        place = f'service {name}'
        if name not in named:
            yield warning(
                Rule.NEVER_MATCHES,
                place,
                'no route names it: add it to a route, or remove it',
            )
        if service.cold_per_second < 0:
            yield error(
                Rule.VALUE, place, 'its cold rate is negative: use 0 for none'
            )
        if service.engine is not None and not is_usable(service.engine):
            yield error(
                Rule.VALUE,
                place,
                'its engines need at least 1 slot and 1 token an event, and no'
                ' negative memory',
            )


def is_usable(engine: EngineTraits) -> bool:
    """Return whether an engine with these properties can run a request."""
    has_room = engine.slots >= 1 and engine.memory_tokens >= 0
    return has_room and engine.tokens_per_event >= 1


def check_workspaces(configuration: Configuration) -> Iterator[Finding]:
    """A workspace has keys of its own, and a route that asks for them."""
    owners: dict[str, str] = {}
    is_asked = not all(route.allows_anonymous for route in configuration.routes)
    for workspace in configuration.workspaces:
        place = f'workspace {workspace.name}'
        if not workspace.keys:
            yield warning(
                Rule.NEVER_MATCHES,
                place,
                'it has no key: no request can be of this workspace',
            )
        if not is_asked:
            yield warning(
                Rule.NEVER_MATCHES,
                place,
                'no route asks for a key: all routes are anonymous',
            )
        for key in workspace.keys:
            owner = owners.setdefault(key, workspace.name)
            if owner != workspace.name:
                yield error(
                    Rule.CONTRADICTION,
                    place,
                    f'workspace {owner} has one of its keys: requests with it'
                    ' count for the last one; give each its own keys',
                )


def check_times(configuration: Configuration) -> Iterator[Finding]:
    """A request may take as long as its latency target."""
    for route in configuration.routes:
        timeout = route.timeout_seconds
        target = route.latency_target_seconds
        if timeout <= 0 or target <= 0:
            yield error(
                Rule.VALUE,
                f'route {route.name}',
                f'time limit {timeout:g} s and latency target {target:g} s'
                ' must be above 0',
            )
        elif timeout < target:
            yield error(
                Rule.CONTRADICTION,
                f'route {route.name}',
                f'the time limit, {timeout:g} s, is below the latency target,'
                f' {target:g} s: raise the limit or lower the target',
            )


def check_limits(configuration: Configuration) -> Iterator[Finding]:
    """The limits of clients let some request through."""
    limits = configuration.limits
    if min(limits.header_bytes, limits.body_bytes, limits.idle_seconds) <= 0:
        yield error(
            Rule.VALUE,
            'limits',
            'the limits of heads, bodies and idle times must be above 0',
        )


def check_attempts(
    configuration: Configuration, bounds: Bounds
) -> Iterator[Finding]:
    """The attempts of a route can all be made."""
    for route in configuration.routes:
        place = f'route {route.name}'
        if route.attempts < 1:
            yield error(Rule.VALUE, place, 'its attempts must be at least 1')
        if route.attempts > 1 and route.may_repeat:
            yield from check_repeats(route, bounds)
        elif route.attempts > 1:
            yield warning(
                Rule.IGNORED,
                place,
                f'its {route.attempts} attempts have no effect: only'
                ' idempotent calls and resumable streams are repeated',
            )
        elif route.resumable:
            yield warning(
                Rule.CONTRADICTION,
                place,
                'its streams are resumable, but with 1 attempt they never run'
                ' at a second endpoint: raise the attempts',
            )


def check_repeats(route: Route, bounds: Bounds) -> Iterator[Finding]:
    """The retry budget and the time limit of a route suffice for its repeats."""
    place = f'route {route.name}'
    if route.attempts - 1 > bounds.retry_extra:
        yield error(
            Rule.CONTRADICTION,
            place,
            f'{route.attempts} attempts are {route.attempts - 1} repeats of one'
            f' request; the fleet may make {bounds.retry_extra:g} in addition'
            ' to its share of the requests: lower the attempts',
        )
    if needs_more_time(route):
        yield warning(
            Rule.CONTRADICTION,
            place,
            f'its time limit, {route.timeout_seconds:g} s, ends before the'
            f' last of {route.attempts} attempts begins: lower the attempts or'
            ' raise the limit',
        )


def needs_more_time(route: Route) -> bool:
    """Return whether a call that is given up each time misses its last attempt."""
    if route.resumable:
        return False
    given_up = route.latency_target_seconds * ATTEMPT_SHARE
    return (route.attempts - 1) * given_up >= route.timeout_seconds


Check = Callable[[Configuration], Iterator[Finding]]
CHECKS: tuple[Check, ...] = (
    check_names,
    check_matches,
    check_targets,
    check_services,
    check_workspaces,
    check_times,
    check_limits,
)
