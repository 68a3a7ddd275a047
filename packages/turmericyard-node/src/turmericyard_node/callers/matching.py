"""Matches a request to its route, or gives the reason why it has none."""

import xxhash
from returns.result import Failure, Result, Success

from turmericyard_node.callers.answers import Problem, refused
from turmericyard_node.callers.bodies import CallBody, GenerateBody
from turmericyard_tables.models import (
    Configuration,
    Route,
    WorkKind,
    Workspace,
)

NOT_FOUND = 404
FORBIDDEN = 403
PREFIX_TOKENS = 64
TOKEN_MASK = 0x7FFFFFFF


def match_route(
    configuration: Configuration, product: str, workspace: str, kind: WorkKind
) -> Result[tuple[Route, Workspace], Problem]:
    """Return the route and the workspace of a request."""
    route = configuration.routes.get(product)
    if route is None:
        return Failure(
            refused('unknown-product', f'no route for {product!r}', NOT_FOUND)
        )
    if route.kind is not kind:
        return Failure(
            refused('wrong-kind', f'{product} is a {route.kind.value} product')
        )
    found = configuration.workspaces.get(workspace)
    if found is None:
        return Failure(
            refused(
                'unknown-workspace', f'no workspace {workspace!r}', NOT_FOUND
            )
        )
    if product not in found.products:
        return Failure(
            refused(
                'product-not-allowed',
                f'workspace {workspace} may not use {product}',
                FORBIDDEN,
            )
        )
    return Success((route, found))


def deadline_of(body: GenerateBody | CallBody, route: Route) -> float:
    """Return the time limit in seconds: the caller's, at most the route's."""
    requested = body.deadline_seconds or route.deadline_seconds
    return min(requested, route.deadline_seconds)


def tokenize(prompt: str) -> tuple[int, ...]:
    """Return one token per word, the form that the platform's engines expect."""
    return tuple(
        xxhash.xxh32_intdigest(word.encode()) & TOKEN_MASK
        for word in prompt.split()
    )


def prefix_hash(prompt: tuple[int, ...]) -> str:
    """Return the hash by which engines identify the prompt's prefix."""
    digest = xxhash.xxh64()
    for token in prompt[:PREFIX_TOKENS]:
        digest.update(token.to_bytes(4, 'big'))
    return digest.hexdigest()
