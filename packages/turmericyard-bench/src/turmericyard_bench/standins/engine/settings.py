"""Settings of one engine stand-in."""

from dataclasses import dataclass, replace

from turmericyard_bench.engine.shape import EngineShape


@dataclass(frozen=True, slots=True)
class StandInSettings:
    """Settings of one engine stand-in; times in seconds.

    A generation without readers ends after `grace_seconds`; a finished one can
    be resumed for `kept_seconds`. Models are loaded from `weights_store`,
    `host:port`, if it is set; otherwise each load takes `weights_seconds`.
    """

    name: str
    port: int
    control_port: int
    shape: EngineShape
    seed: int = 0
    host: str = '127.0.0.1'
    model: str = 'report-model'
    version: str = '1'
    adapters: tuple[str, ...] = ()
    role: str = 'serve'
    start_warm: bool = False
    checks_fencing: bool = True
    grace_seconds: float = 10
    kept_seconds: float = 30
    weights_seconds: float = 1
    weights_store: str = ''
    lag_seconds: float = 1


def scaled_shape(shape: EngineShape, scale: float) -> EngineShape:
    """Return a shape with all step times multiplied by `scale`."""
    return replace(
        shape,
        base_seconds=shape.base_seconds * scale,
        sequence_seconds=shape.sequence_seconds * scale,
        resident_token_seconds=shape.resident_token_seconds * scale,
        prefill_token_seconds=shape.prefill_token_seconds * scale,
    )
