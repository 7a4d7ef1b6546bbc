"""Changes read from the store: configuration, registrations, roll-outs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from cowslipshift.steering import model
    from cowslipshift.steering import rollouts


class ConfigurationChange(msgspec.Struct, frozen=True):
    """A new version of the configuration, or its entry is gone (``None``)."""

    configuration: model.Configuration | None


class BackendChange(msgspec.Struct, frozen=True):
    """A backend server registered, changed, or is gone (``None``)."""

    id: str
    backend: model.Backend | None


class OrderChange(msgspec.Struct, frozen=True):
    """A roll-out was ordered, or its order is gone (``None``)."""

    service: str
    order: model.RolloutOrder | None


class StageChange(msgspec.Struct, frozen=True):
    """A roll-out reached another stage.

    Attributes:
        revision: Store revision of the stage; 0 if there is none.
        era: Era of the store that the revision belongs to.
    """

    service: str
    stage: rollouts.Stage | None
    revision: int
    era: int = 0


class EvacuationChange(msgspec.Struct, frozen=True):
    """A data centre is evacuated, or may be used again."""

    data_centre: str
    is_active: bool


class MemberChange(msgspec.Struct, frozen=True):
    """A host announced itself, or is gone (``None``)."""

    name: str
    member: model.Member | None


Change = (
    ConfigurationChange
    | BackendChange
    | OrderChange
    | StageChange
    | EvacuationChange
    | MemberChange
)
