"""What requests cost and what backend servers still have to do.

Nothing here knows the platform's names or how messages travel.
"""

from __future__ import annotations
