"""Steps for the configuration data classes."""

from behave import given, then, when
from behave.runner import Context

from turmericyard_tables.models import Configuration, Endpoint, Mark


@given('an endpoint in zone "{zone}" on VM "{vm}"')
def step_endpoint(context: Context, zone: str, vm: str) -> None:
    context.endpoint = Endpoint('e', 'pool', '127.0.0.1:1', zone, vm)


@when('zone "{zone}" is marked out of service')
def step_zone_out(context: Context, zone: str) -> None:
    context.configuration = Configuration(zones_out={zone: Mark(since=0)})


@then('the endpoint is not in service')
def step_not_in_service(context: Context) -> None:
    assert not context.configuration.in_service(context.endpoint)
