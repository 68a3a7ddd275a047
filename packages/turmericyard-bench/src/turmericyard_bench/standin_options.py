"""Options that make the stand-ins match the rows of a deployment's tables."""

from turmericyard_bench.example import ExampleEndpoint


def engine_arguments(
    endpoint: ExampleEndpoint, options: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the engine options that match the row of its pool."""
    pool = endpoint.pool
    adapters = [name.strip() for name in pool.get('adapters', '').split(',')]
    named = [('--adapters', name) for name in adapters if name]
    arguments = [
        ('--name', endpoint.name),
        ('--cold-limit', pool['cold_limit']),
        ('--limit', pool['limit']),
        ('--memory-tokens', pool['memory_tokens']),
        ('--model', pool['model']),
        ('--version', pool.get('version', '1')),
        *named,
    ]
    return (*(word for pair in arguments for word in pair), *options)


def service_arguments(
    endpoint: ExampleEndpoint, options: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the service options that match the row of its pool."""
    pool = endpoint.pool
    return ('--limits', pool['cold_limit'], pool['limit'], *options)
