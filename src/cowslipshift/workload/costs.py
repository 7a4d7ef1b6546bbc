"""What requests are likely to cost, learnt from answers.

A cost is the work in seconds of a server at its usual pace, without queueing
and travel.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.steering import latencies
from cowslipshift.workload import spread

if TYPE_CHECKING:
    from cowslipshift.steering import calls
    from cowslipshift.steering import model

EWMA_WEIGHT = 0.05
MAX_STEP = 0.5
"""Maximum logarithm of what one answer says against an estimate."""

KERNEL_WIDTH = 0.25
"""Usual logarithmic distance of an answer from its estimate."""

MIN_COLD_LOG = math.log(1.8)
"""Minimum logarithmic distance between cold and warm work."""

WARM_SHARE_EWMA_WEIGHT = 0.03
FIRST_WARM_SHARES = (0.9, 0.3)
"""Assumed share of requests that find their object warm at its first server
and at others."""

MAX_ROUTES = 4096
MAX_TRAITS = 4096
TRAIT_PRIOR_WEIGHT = 8.0
MIN_TRAIT_GAIN = 0.02
MAX_TRAIT_LOG = 1.5
MAX_PREDICTED_S = 600.0
HIGH_SHARE = 0.95
"""Quantile that counts where a deadline is at stake."""


class Cost(msgspec.Struct, frozen=True):
    """Predicted work of a request at one server, in seconds.

    Attributes:
        mean_s: Mean work.
        high_s: Work that few such requests exceed.
        typical_s: Work that scatters evenly to both sides.
    """

    mean_s: float
    high_s: float
    typical_s: float


class _Trait:
    """What requests with one property cost, compared with their route."""

    __slots__ = ("log", "weight")

    def __init__(self) -> None:
        self.log = 0.0
        self.weight = 0.0


class _RouteCost:
    """Typical work of a route's requests, and how it scatters."""

    __slots__ = ("cold_log", "spread", "warm_log", "warm_shares")

    def __init__(self, route: model.Route) -> None:
        cold_s = latencies.COLD_TARGET_RATIO * route.target_s
        warm_s = latencies.WARM_TARGET_RATIO * route.target_s
        self.cold_log = math.log(max(cold_s, 1e-3))
        self.warm_log = (
            math.log(max(warm_s, 1e-3))
            if route.has_affinity
            else self.cold_log
        )
        self.warm_shares = list(FIRST_WARM_SHARES)
        self.spread = spread.Spread()


class CostModel:
    """Predicts costs by route, object, account, method and size of a body.

    Properties have a factor each, bounded in number; those not seen for
    longest are forgotten, as are the first of too many routes.
    """

    __slots__ = ("_routes", "_traits")

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], _RouteCost] = {}
        self._traits: collections.OrderedDict[tuple[object, ...], _Trait] = (
            collections.OrderedDict()
        )

    @property
    def route_count(self) -> int:
        """Number of routes whose costs are kept."""
        return len(self._routes)

    @property
    def trait_count(self) -> int:
        """Number of properties with a factor of their own."""
        return len(self._traits)

    def predict(
        self, call: calls.Call, is_known_warm: bool, position: int
    ) -> Cost:
        """Predict the work of a request.

        Args:
            call: The request.
            is_known_warm: Whether the server is known to be warm for it.
            position: Position of the server in the order of preference.
        """
        route = self._find_route(call.route)
        factor = math.exp(self._sum_traits(call))
        warm_s = factor * math.exp(route.warm_log)
        cold_s = factor * math.exp(route.cold_log)
        warm_share = (
            1.0 if is_known_warm else route.warm_shares[min(position, 1)]
        )
        mean_s = warm_share * warm_s + (1.0 - warm_share) * cold_s
        typical_s = warm_s**warm_share * cold_s ** (1.0 - warm_share)
        upper_s = warm_s if warm_share >= HIGH_SHARE else cold_s
        high_ratio = route.spread.find_quantile(HIGH_SHARE)
        return Cost(
            min(MAX_PREDICTED_S, mean_s * route.spread.mean),
            min(MAX_PREDICTED_S, upper_s * high_ratio),
            min(MAX_PREDICTED_S, typical_s),
        )

    def update(
        self,
        call: calls.Call,
        is_known_warm: bool,
        position: int,
        work_s: float,
    ) -> None:
        """Learn from an answer whose work was not cut short.

        Args:
            call: The request.
            is_known_warm: As it was predicted.
            position: As it was predicted.
            work_s: Its work, without queueing and pace.
        """
        if not 0.0 < work_s < math.inf:
            return
        route = self._find_route(call.route)
        place = min(position, 1)
        seen = math.log(max(work_s, 1e-3)) - self._sum_traits(call)
        was_warm = 1.0
        if not call.route.has_affinity or not call.affinity_key:
            was_warm = 0.0 if not is_known_warm else 1.0
        elif not is_known_warm:
            was_warm = _judge_warmth(route, place, seen)
            share = route.warm_shares[place]
            route.warm_shares[place] += WARM_SHARE_EWMA_WEIGHT * (
                was_warm - share
            )
        warm_step = _bound(seen - route.warm_log)
        cold_step = _bound(seen - route.cold_log)
        is_warm = was_warm >= 0.5
        typical_log = route.warm_log if is_warm else route.cold_log
        route.spread.record(math.exp(min(5.0, seen - typical_log)))
        route.warm_log += EWMA_WEIGHT * was_warm * warm_step
        route.cold_log += EWMA_WEIGHT * (1.0 - was_warm) * cold_step
        if call.route.has_affinity:
            route.cold_log = max(route.cold_log, route.warm_log + MIN_COLD_LOG)
        self._update_traits(call, warm_step if is_warm else cold_step)

    def _find_route(self, route: model.Route) -> _RouteCost:
        known = self._routes.get(route.key)
        if known is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            known = self._routes[route.key] = _RouteCost(route)
        return known

    def _sum_traits(self, call: calls.Call) -> float:
        total = 0.0
        for key in _list_traits(call):
            trait = self._traits.get(key)
            if trait is not None:
                total += trait.log
        return max(-MAX_TRAIT_LOG, min(MAX_TRAIT_LOG, total))

    def _update_traits(self, call: calls.Call, step: float) -> None:
        keys = _list_traits(call)
        for key in keys:
            trait = self._traits.get(key)
            if trait is None:
                trait = self._traits[key] = _Trait()
            self._traits.move_to_end(key)
            gain = max(
                MIN_TRAIT_GAIN, 1.0 / (trait.weight + TRAIT_PRIOR_WEIGHT)
            )
            trait.weight += 1.0
            trait.log += gain / len(keys) * step
            trait.log = max(-MAX_TRAIT_LOG, min(MAX_TRAIT_LOG, trait.log))
        while len(self._traits) > MAX_TRAITS:
            self._traits.popitem(last=False)


def _list_traits(call: calls.Call) -> list[tuple[object, ...]]:
    route = call.route.key
    keys: list[tuple[object, ...]] = []
    if call.affinity_key:
        keys.append((route, "object", call.affinity_key))
    if call.account is not None:
        keys.append((route, "account", call.account.name))
    if call.method:
        keys.append((route, "method", call.method))
    if call.body_bytes:
        keys.append((route, "size", call.body_bytes.bit_length()))
    return keys


def _judge_warmth(route: _RouteCost, place: int, seen: float) -> float:
    """Return the probability that the object was warm."""
    share = max(0.02, min(0.98, route.warm_shares[place]))
    warm = share * math.exp(
        -min(20.0, abs(seen - route.warm_log) / KERNEL_WIDTH)
    )
    cold = (1.0 - share) * math.exp(
        -min(20.0, abs(seen - route.cold_log) / KERNEL_WIDTH)
    )
    return warm / (warm + cold)


def _bound(step: float) -> float:
    return max(-MAX_STEP, min(MAX_STEP, step))
