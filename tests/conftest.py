from __future__ import annotations

import os

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings

EXAMPLES = int(os.environ.get("COWSLIPSHIFT_FUZZ_EXAMPLES", "300"))

settings.register_profile(
    "fixed",
    max_examples=EXAMPLES,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    print_blob=True,
    report_multiple_bugs=False,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("fixed")
