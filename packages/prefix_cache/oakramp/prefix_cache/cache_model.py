"""How much of a replica's prefix cache is read again, worked out from rates and sizes by Che's approximation.

An LRU cache lets a part go once it has not been asked for during about one characteristic time T, the same for all
parts: that in which the distinct tokens asked for fill the cache. With Poisson arrivals a working set of `tokens` asked
for `rate` times a second takes tokens * (1 - exp(-rate * T)) of it and is met with 1 - exp(-rate * T), and what is
asked for only once takes its flow * T. (Che, Tung, Wang: Hierarchical Web caching systems, 2002.) Rates add up over
gates, so no gate needs to know what the others sent, as a shadow of the cache would.
"""

import math

from oakramp.common.constants import CACHE_TIME_MAX

STEPS = 40  # halvings of the span; beyond what doubles can tell


def held(sets, flow, seconds):
    """Distinct tokens asked for within so many seconds, on average."""
    return flow * seconds - sum(tokens * math.expm1(-rate * seconds) for tokens, rate in sets)


def characteristic_time(cache_tokens, sets, flow):
    """Seconds a part stays after its last use. `sets` are (tokens, requests/s), `flow` is in tokens/s."""
    low, high = 0.0, CACHE_TIME_MAX
    if held(sets, flow, high) <= cache_tokens:
        return high
    for _ in range(STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if held(sets, flow, middle) <= cache_tokens else (low, middle)
    return low


def hit_share(rate, seconds):
    """Share of requests that come before the working set's time is over."""
    return -math.expm1(-rate * seconds)
