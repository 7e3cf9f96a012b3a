"""The dotted version vectors of the paper, compared with a reference model of causal histories."""

import unittest

from hypothesis import given, settings, strategies as st

from oakramp.version_vectors.causal_context import from_context, to_context
from oakramp.version_vectors.version_vector import VersionVector, ceiling, ids, leq, less, sync, update


def events(clock):
    """The semantic function of the paper: the causal history that a clock represents."""
    return {
        (node_id, number)
        for node_id, (m, n) in clock.entries.items()
        for number in [*range(1, m + 1), *([n] if n else [])]
    }


def union_of(clock_set):
    return {event for clock in clock_set for event in events(clock)}


def is_downset(clock_set):
    return all(
        (node_id, number) in union_of(clock_set)
        for node_id in ids(clock_set)
        for number in range(1, ceiling(clock_set, node_id) + 1)
    )


class Reference:
    """Runs the same steps on clocks and on causal histories; each version has one of both."""

    def __init__(self, node_ids):
        self.clocks = {node_id: frozenset() for node_id in node_ids}
        self.histories = {node_id: frozenset() for node_id in node_ids}
        self.contexts = [(frozenset(), frozenset())]
        self.event_counts = {node_id: 0 for node_id in node_ids}

    def get(self, node_id):
        self.contexts.append((self.clocks[node_id], self.histories[node_id]))

    def get_quorum(self, first, second):
        self.contexts.append(
            (
                sync(self.clocks[first], self.clocks[second]),
                sync_histories(self.histories[first], self.histories[second]),
            )
        )

    def put(self, node_id, context_index):
        clock_context, history_context = self.contexts[context_index % len(self.contexts)]
        clock = update(clock_context, self.clocks[node_id], node_id)
        self.event_counts[node_id] += 1
        history = frozenset().union(*history_context) | {(node_id, self.event_counts[node_id])}
        before = frozenset().union(*self.clocks.values())
        self.clocks[node_id] = sync(self.clocks[node_id], {clock})
        self.histories[node_id] = sync_histories(self.histories[node_id], frozenset([history]))
        return clock_context, before, clock

    def merge(self, to_id, from_id):
        self.clocks[to_id] = sync(self.clocks[to_id], self.clocks[from_id])
        self.histories[to_id] = sync_histories(self.histories[to_id], self.histories[from_id])


def sync_histories(left, right):
    return frozenset(
        [x for x in left if not any(x < y for y in right)] + [x for x in right if not any(x < y for y in left)]
    )


NODES = "abc"
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("get"), st.sampled_from(NODES)),
        st.tuples(st.just("get_quorum"), st.sampled_from(NODES), st.sampled_from(NODES)),
        st.tuples(st.just("put"), st.sampled_from(NODES), st.integers(0, 30)),
        st.tuples(st.just("merge"), st.sampled_from(NODES), st.sampled_from(NODES)),
    ),
    max_size=40,
)


class Figure7(unittest.TestCase):
    def test_the_run_of_the_figure_gives_its_clocks(self):
        r"""
        C1            C2            C3            Ra                      Rb
        put v ------------------------------------------------------->   {(b,0,1)}
                      put w ----------------------------------------->   {(b,0,1)},{(b,0,2)}
                                    put x ---->   {(a,0,1)}
        get a, put y -------------------------->  {(a,1,2)}
                                                  <---- anti-entropy --  {(b,0,1)},{(b,0,2)}
                      get b, put z ------------>  {(a,1,2)},{(a,0,3),(b,2)}
        """
        empty = frozenset()
        v = update(empty, empty, "b")
        in_b = frozenset([v])
        w = update(empty, in_b, "b")
        in_b = sync(in_b, {w})
        self.assertEqual(in_b, {VersionVector({"b": (0, 1)}), VersionVector({"b": (0, 2)})})
        x = update(empty, empty, "a")
        in_a = frozenset([x])
        y = update(in_a, in_a, "a")
        in_a = sync(in_a, {y})
        self.assertEqual(in_a, {VersionVector({"a": (1, 2)})})
        in_a = sync(in_a, in_b)
        z = update(in_b, in_a, "a")
        self.assertEqual(z, VersionVector({"a": (0, 3), "b": 2}))
        in_a = sync(in_a, {z})
        self.assertEqual(in_a, {y, z})

    def test_a_write_with_an_old_context_is_concurrent_on_the_same_replica(self):
        stored, written = VersionVector({"r": 4}), update({VersionVector({"r": 3})}, {VersionVector({"r": 4})}, "r")
        self.assertEqual(written, VersionVector({"r": (3, 5)}))
        self.assertFalse(leq(stored, written) or leq(written, stored))


CLOCKS = st.dictionaries(
    st.sampled_from("ab"),
    st.one_of(
        st.integers(1, 5), st.tuples(st.integers(0, 4), st.integers(1, 6)).filter(lambda pair: pair[0] < pair[1])
    ),
).map(VersionVector)


class AgainstCausalHistories(unittest.TestCase):
    @settings(derandomize=True, max_examples=500, deadline=None, database=None)
    @given(CLOCKS, CLOCKS)
    def test_order_of_clocks_is_inclusion_of_histories(self, left, right):
        self.assertEqual(leq(left, right), events(left) <= events(right))
        self.assertEqual(less(left, right), events(left) < events(right))

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(STEPS)
    def test_clocks_and_histories_agree_after_random_steps(self, steps):
        run = Reference(NODES)
        for name, *arguments in steps:
            result = getattr(run, name)(*arguments)
            if name == "put":
                context, before, clock = result
                self.assertTrue(all(leq(one, clock) for one in context), "update dominates its context")
                self.assertFalse(events(clock) <= union_of(before), "update is new")
                self.assertTrue(
                    all(events(one) <= union_of(context) for one in before if leq(one, clock)),
                    "update dominates nothing but its context",
                )
            for node_id in NODES:
                clock_set = run.clocks[node_id]
                self.assertTrue(is_downset(clock_set))
                self.assertEqual({frozenset(events(clock)) for clock in clock_set}, run.histories[node_id])
                self.assertFalse(any(less(x, y) for x in clock_set for y in clock_set))

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(st.frozensets(CLOCKS, max_size=4))
    def test_a_context_is_decoded_to_the_clocks_it_was_made_of(self, clock_set):
        self.assertEqual(from_context(to_context(clock_set)), clock_set)

    def test_a_malformed_context_raises_value_error(self):
        for text in ("!!", "e30=", "W1siYSJdXQ==", "WzFd"):
            with self.assertRaises(ValueError):
                from_context(text)
