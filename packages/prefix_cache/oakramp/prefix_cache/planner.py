"""Plans which replicas a trapped tenant's requests go to, so that the working sets on a replica fit its cache together.

By decreasing rate, each tenant is placed on the replicas that are least full of planned rates and sets and have room
for its working set; a tenant that was planned before stays as long as its replicas do, so that a plan moves as little
as possible. No replica is reserved: tenants that are not trapped are still placed on all of them, and the tokens that
they hold there within a window are subtracted from the bins.
"""

import math

from oakramp.common.constants import (
    BIN_SHARE,
    CACHE_USABLE,
    EVICTION_WINDOW,
    HOT_SHARE,
    PLAN_GAIN,
    TENANT_REPLICAS,
    TENANTS_MOVED,
)
from oakramp.prefix_cache.cache_model import characteristic_time, held, hit_share
from oakramp.prefix_cache.detector import pressure


class _Bins:
    """Invariant: `room` is the number of tokens left of `size` on each replica and `rate` the requests/s planned for
    it."""

    def __init__(self, replicas, size, mean_rate):
        self._size, self._mean_rate = max(1.0, size), mean_rate
        self.room, self.rate = dict.fromkeys(replicas, size), dict.fromkeys(replicas, 0.0)

    def put(self, load, replicas):
        for replica in replicas:
            self.room[replica] -= load.common
            self.rate[replica] += load.rate / len(replicas)

    def best(self, load, count, taken):
        """Returns at most `count` more replicas that have room."""
        fit = [replica for replica in self.room if replica not in taken and self.room[replica] >= load.common]
        return sorted(fit, key=lambda replica: (self._fullness(replica), replica))[: max(0, count)]

    def _fullness(self, replica):
        return self.rate[replica] / self._mean_rate + 1 - self.room[replica] / self._size


def replicas_needed(load, mean_rate, count):
    """Returns how many of `count` replicas this tenant's rate requires."""
    return max(1, min(math.ceil(load.rate / (HOT_SHARE * mean_rate)), int(TENANT_REPLICAS * count)))


def _taken(loads, tenants, usable, count):
    """Returns the tokens of each replica's cache that working sets of tenants outside the plan take; at most half of
    it, so that a plan is not given up before `is_worth` has judged it."""
    others, _ = pressure({name: load for name, load in loads.items() if name not in tenants}, 0.0, count)
    return min(usable / 2, held(others, 0.0, EVICTION_WINDOW))


def plan_of(loads, tenants, replicas, cache_tokens, previous):
    """Returns ({tenant: replicas}, tenants without room). `previous` is the current plan; `tenants` are to be in the
    new one; `replicas` are the ids that are ready."""
    usable, ready = CACHE_USABLE * cache_tokens, set(replicas)
    mean_rate = max(1e-9, sum(load.rate for load in loads.values()) / max(1, len(ready)))
    bins = _Bins(sorted(ready), BIN_SHARE * usable - _taken(loads, tenants, usable, max(1, len(ready))), mean_rate)
    kept = {name: [one for one in previous[name] if one in ready] for name in previous.keys() & set(tenants)}
    for name, stay in kept.items():
        if stay and name in loads:
            bins.put(loads[name], stay)
    plan, without_room = {}, []
    for name in sorted(tenants, key=lambda name: (name not in kept, -loads[name].rate if name in loads else 0.0, name)):
        stay = kept.get(name, [])
        if name not in loads:  # without requests for a moment
            plan |= {name: stay} if stay else {}
            continue
        load = loads[name]
        more = bins.best(load, replicas_needed(load, mean_rate, len(ready)) - len(stay), stay)
        if not (stay or more) or len(plan) >= TENANTS_MOVED:
            without_room.append(name)
            continue
        if more:
            bins.put(load, more)
        plan[name] = sorted(stay + more)
    return plan, without_room


def read_again(loads, flow, cache_tokens, replicas, plan):
    """Returns {tenant: tokens/s of its working set that are read again} under this plan."""
    usable, count = CACHE_USABLE * cache_tokens, len(replicas)
    lost = dict.fromkeys(loads, 0.0)
    for replica in replicas:
        rates = {
            name: load.rate / len(plan.get(name) or replicas)
            for name, load in loads.items()
            if replica in (plan.get(name) or replicas)
        }
        fresh = flow / count + sum(rate * loads[name].fresh for name, rate in rates.items())
        seconds = characteristic_time(usable, [(loads[name].common, rate) for name, rate in rates.items()], fresh)
        for name, rate in rates.items():
            lost[name] += rate * loads[name].common * (1 - hit_share(rate, seconds))
    return lost


def is_worth(loads, flow, cache_tokens, replicas, plan):
    """Whether the plan saves enough of the tokens that its tenants read again, and the other tenants together do not
    read more again."""
    before, after = (read_again(loads, flow, cache_tokens, replicas, one) for one in ({}, plan))
    moved = [name for name in plan if name in loads]
    others = [name for name in loads if name not in plan]
    return (
        sum(after[name] for name in moved) <= PLAN_GAIN * sum(before[name] for name in moved)
        and sum(after[name] for name in others) <= sum(before[name] for name in others) + 1e-6
    )
