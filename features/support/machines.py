"""Settings of hypothesis state machines in features."""

from hypothesis import HealthCheck, Phase, settings


def machine_settings(examples: int) -> settings:
    return settings(
        max_examples=examples,
        stateful_step_count=40,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
        phases=(Phase.generate,),
    )
