"""Validated bodies of callers' requests."""

from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from turmericyard_node.callers.answers import Problem, refused

DEFAULT_OUTPUT_TOKENS = 4096
MAX_OUTPUT_TOKENS = 131_072
MAX_DEADLINE_SECONDS = 3600
MAX_KEY_CHARACTERS = 200
Name = Annotated[str, Field(min_length=1, max_length=100)]

BodyT = TypeVar('BodyT', bound=BaseModel)


class Body(BaseModel):
    """A JSON body that rejects unknown fields."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class GenerateBody(Body):
    """Body of a request for one generation."""

    product: Name
    workspace: Name
    prompt: Annotated[str, Field(min_length=1)]
    max_tokens: int = Field(
        default=DEFAULT_OUTPUT_TOKENS, ge=1, le=MAX_OUTPUT_TOKENS
    )
    stream: bool = True
    deadline_seconds: float | None = Field(
        default=None, gt=0, le=MAX_DEADLINE_SECONDS
    )


class CallBody(Body):
    """Body of a request for one call of a service."""

    product: Name
    workspace: Name
    operation: Name
    payload: Any = None
    deadline_seconds: float | None = Field(
        default=None, gt=0, le=MAX_DEADLINE_SECONDS
    )


def parse_body(kind: type[BodyT], body: bytes) -> Result[BodyT, Problem]:
    """Return the validated body, or a refusal that lists its errors."""
    try:
        return Success(kind.model_validate_json(body))
    except ValidationError as error:
        faults = '; '.join(
            f'{".".join(map(str, fault["loc"])) or "body"}: {fault["msg"]}'
            for fault in error.errors(include_url=False, include_input=False)
        )
        return Failure(refused('invalid-body', faults))
