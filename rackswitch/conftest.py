"""Profile of the randomised tests: the same examples in every run."""

from hypothesis import HealthCheck, settings
from loguru import logger

logger.remove()

settings.register_profile(
    "steady",
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)
settings.load_profile("steady")
