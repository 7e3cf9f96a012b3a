"""Estimates from rates and sizes, by Che's approximation, how much of a replica's prefix cache is read again.

An LRU cache evicts a part once it has not been requested for about one characteristic time T, the same for all parts:
the time in which the distinct tokens requested fill the cache. With Poisson arrivals a working set of `tokens`
requested `rate` times a second takes tokens * (1 - exp(-rate * T)) of it and has a hit rate of 1 - exp(-rate * T), and
tokens that are requested only once take their flow * T. (Che, Tung, Wang: Hierarchical Web caching systems, 2002.)
Rates add up over gateways, so no gateway needs to know what the others sent, as it would to simulate the cache.
"""

import math

from oakramp.common.constants import CACHE_TIME_MAX

STEPS = 40  # halvings of the interval; more than the precision of a double


def held(sets, flow, seconds):
    """Mean number of distinct tokens requested within this many seconds."""
    return flow * seconds - sum(tokens * math.expm1(-rate * seconds) for tokens, rate in sets)


def characteristic_time(cache_tokens, sets, flow):
    """Seconds for which a part stays cached after its last use. `sets` are (tokens, requests/s), `flow` is in
    tokens/s."""
    low, high = 0.0, CACHE_TIME_MAX
    if held(sets, flow, high) <= cache_tokens:
        return high
    for _ in range(STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if held(sets, flow, middle) <= cache_tokens else (low, middle)
    return low


def hit_share(rate, seconds):
    """Share of requests that arrive while the working set is still cached."""
    return -math.expm1(-rate * seconds)
