"""Reports stalls of the event loop that callers and servers share."""

from __future__ import annotations

from tests.edge.conftest import loop_stalls

__all__ = ["loop_stalls"]
