"""Hypothesis runs the same examples every time, unless HYPOTHESIS_PROFILE=explore."""

import os

from hypothesis import HealthCheck, settings

CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large]
settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, suppress_health_check=CHECKS
)
settings.register_profile(
    "explore", deadline=None, max_examples=1200, suppress_health_check=CHECKS, database=None
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
