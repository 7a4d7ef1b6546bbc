"""Who gets room at backend servers when there is too little of it."""

from __future__ import annotations
