"""The check for linearizability finds injected violations, and none in linearizable histories."""

import itertools
import random
import unittest

from oakramp.testbed.linearizability import Answer, Order, Read, Try, check_history

ACKNOWLEDGED, REFUSED, INVALID, OPEN = Answer.ACKNOWLEDGED, Answer.REFUSED, Answer.INVALID, Answer.OPEN


def order(base, version, *tries, content=None, is_valid=True):
    return Order(base, version, content or f"c{version}", [Try(*one) for one in tries], is_valid)


def read(version, sent_at, answered_at, content=None):
    return Read(version, (content or f"c{version}") if version else None, sent_at, answered_at)


class InjectedViolations(unittest.TestCase):
    def assert_fault(self, words, orders, reads=()):
        faults = check_history(orders, list(reads))
        self.assertTrue(faults)
        self.assertIn(words, faults[0])

    def assert_linearizable(self, orders, reads=()):
        self.assertEqual(check_history(orders, list(reads)), [])

    def test_two_changes_acknowledged_with_one_version(self):
        first = order(0, 1, (0, 1, ACKNOWLEDGED))
        self.assert_fault(
            "under version 5",
            [first, order(1, 5, (2, 3, ACKNOWLEDGED), content="a"), order(1, 5, (2, 4, ACKNOWLEDGED), content="b")],
        )
        self.assert_linearizable(
            [first, order(1, 5, (2, 3, ACKNOWLEDGED), content="a"), order(1, 5, (2, 4, REFUSED), content="b")]
        )

    def test_two_changes_acknowledged_on_one_base(self):
        first = order(0, 1, (0, 1, ACKNOWLEDGED))
        self.assert_fault(
            "on top of version 1", [first, order(1, 5, (2, 3, ACKNOWLEDGED)), order(1, 6, (2, 4, ACKNOWLEDGED))]
        )

    def test_an_acknowledged_change_rejected_when_repeated(self):
        for answers in ((ACKNOWLEDGED, REFUSED), (REFUSED, ACKNOWLEDGED), (ACKNOWLEDGED, OPEN, INVALID)):
            tries = [(number, number + 0.5, answer) for number, answer in enumerate(answers)]
            self.assert_fault("acknowledged and refused", [order(0, 1, *tries)])
        self.assert_linearizable([order(0, 1, (0, 9, ACKNOWLEDGED), (1, 2, OPEN), (8, 9, ACKNOWLEDGED))])

    def test_an_applied_change_rejected_after_a_lost_acknowledgement(self):
        """Its acknowledgement was lost, but its version was read."""
        orders = [order(0, 1, (0, 1, ACKNOWLEDGED)), order(1, 2, (2, 3, OPEN), (8, 9, REFUSED))]
        self.assert_fault("no open or acknowledged order", orders, [read(2, 4, 5)])
        # Or a later change is based on it.
        self.assert_fault("explains version 3", [*orders, order(2, 3, (5, 6, ACKNOWLEDGED))])

    def test_stale_reads(self):
        orders = [order(0, 1, (0, 1, ACKNOWLEDGED)), order(1, 2, (2, 3, ACKNOWLEDGED)), order(2, 3, (4, 5, OPEN))]
        self.assert_linearizable(orders, [read(1, 1, 2.5), read(2, 2.5, 4), read(2, 6, 7), read(3, 6.5, 9)])
        self.assert_fault("explains version 2", orders, [read(1, 3.5, 4)])
        self.assert_fault("explains version 1", orders, [read(0, 1.5, 2)])
        self.assert_fault("explains version 3", orders, [read(3, 6, 7), read(2, 8, 9)])
        self.assert_fault("explains version 1", orders, [read(1, -2, -1)])

    def test_an_acknowledged_change_lost(self):
        orders = [
            order(0, 1, (0, 1, ACKNOWLEDGED)),
            order(1, 2, (2, 3, ACKNOWLEDGED)),
            order(1, 5, (2, 9, OPEN), content="other"),
        ]
        self.assert_linearizable(orders, [read(2, 4, 5)])
        self.assert_fault("explains version", orders, [read(5, 10, 11, content="other")])

    def test_a_rejected_change_applied(self):
        orders = [order(0, 1, (0, 1, ACKNOWLEDGED)), order(1, 2, (2, 3, REFUSED)), order(1, 3, (2, 3, ACKNOWLEDGED))]
        self.assert_linearizable(orders, [read(3, 4, 5)])
        self.assert_fault("no open or acknowledged order", orders, [read(2, 4, 5)])
        self.assert_fault("acknowledged", [order(0, 1, (0, 1, ACKNOWLEDGED), is_valid=False)])
        self.assert_fault("explains version 1", [order(0, 1, (0, 1, OPEN), is_valid=False)], [read(1, 2, 3)])

    def test_a_change_on_the_newest_version_rejected(self):
        first = order(0, 1, (0, 1, ACKNOWLEDGED))
        self.assert_fault("explains the refusals", [first, order(1, 2, (2, 3, REFUSED))])
        self.assert_fault("explains the refusals", [order(0, 2, (2, 3, REFUSED))])
        self.assert_fault("explains the refusals", [first, order(1, 2, (2, 3, REFUSED)), order(1, 3, (4, 5, OPEN))])
        self.assert_linearizable([first, order(1, 2, (2, 3, REFUSED)), order(1, 3, (2.5, 2.6, OPEN))])
        self.assert_fault(
            "explains the refusals",
            [first, order(1, 2, (2, 3, REFUSED)), order(1, 3, (2.5, 2.6, OPEN))],
            [read(1, 3.5, 4)],
        )
        self.assert_linearizable([first, order(1, 2, (2, 3, INVALID), is_valid=False)])

    def test_a_valid_change_rejected_as_invalid(self):
        self.assert_fault("refused as invalid", [order(0, 1, (0, 1, INVALID))])

    def test_a_change_rejected_before_its_base_took_effect(self):
        self.assert_linearizable([order(0, 1, (0, 9, ACKNOWLEDGED)), order(1, 2, (0.5, 1, REFUSED))])
        self.assert_linearizable([order(0, 1, (0, 1, ACKNOWLEDGED)), order(7, 9, (2, 3, REFUSED))])

    def test_a_path_through_open_changes(self):
        orders = [
            order(0, 1, (0, 1, ACKNOWLEDGED)),
            order(1, 2, (2, 3, OPEN), content="a"),
            order(1, 2, (6, 7, OPEN), content="b"),
            order(2, 3, (4, 5, ACKNOWLEDGED)),
        ]
        self.assert_linearizable(orders)
        self.assert_linearizable(orders, [read(2, 2, 3, content="a")])
        self.assert_fault("explains version", orders, [read(2, 2, 9, content="b")])
        self.assert_fault("explains version 3", [orders[0], orders[2], orders[3]])

    def test_an_acknowledged_change_on_a_base_that_was_never_sent(self):
        self.assert_fault("explains version 9", [order(0, 1, (0, 1, ACKNOWLEDGED)), order(5, 9, (2, 3, ACKNOWLEDGED))])

    def test_an_order_that_was_never_sent(self):
        self.assert_linearizable([order(0, 1, (0, 1, ACKNOWLEDGED)), order(1, 2)])
        self.assert_fault(
            "no open or acknowledged order", [order(0, 1, (0, 1, ACKNOWLEDGED)), order(1, 2)], [read(2, 3, 4)]
        )

    def test_acknowledged_before_it_was_sent(self):
        self.assert_fault("explains version 2", [order(0, 1, (5, 6, ACKNOWLEDGED)), order(1, 2, (2, 3, ACKNOWLEDGED))])


class Register:
    """The register that generates the linearizable histories of the tests."""

    def __init__(self, random_source):
        self.random_source, self.newest, self.content, self.taken = random_source, 0, None, set()

    def take(self, one):
        if one in self.taken:
            return ACKNOWLEDGED
        if one.base != self.newest:
            return REFUSED if one.base < self.newest else OPEN
        self.newest, self.content = one.version, one.content
        self.taken.add(one)
        return ACKNOWLEDGED


def linearizable_history(seed, count, lost=0.7):
    """The history of many concurrent clients; each call takes effect at a random moment between its sending and its
    reply."""
    random_source = random.Random(seed)
    register, orders, reads, at = Register(random_source), [], [], 0.0
    for _ in range(count):
        at += random_source.expovariate(4.0)
        sent_at, answered_at = at - random_source.expovariate(1.0), at + random_source.expovariate(1.0)
        draw = random_source.random()
        if draw < 0.2:
            reads.append(Read(register.newest, register.content, sent_at, answered_at))
            continue
        if draw < 0.6 or not orders:
            base = register.newest if random_source.random() < 0.8 else random_source.randint(0, register.newest + 2)
            version = base + random_source.randint(1, 2)
            orders.append(Order(base, version, f"{version}/{len(orders)}"))
            one = orders[-1]
        else:
            one = random_source.choice(orders[-20:])
        answer = register.take(one)
        is_lost = random_source.random() < lost
        one.tries.append(Try(sent_at, answered_at, OPEN if is_lost else answer))
    return orders, reads


def brute_force(orders, reads):
    """Whether some sequence of the calls explains a small history; tries all of them."""
    events = [one for one in orders if one.is_valid]
    for count in range(len(events) + 1):
        for path in itertools.permutations(events, count):
            if _explains(path, orders, reads):
                return True
    return False


def _explains(path, orders, reads):
    versions = [0, *(one.version for one in path)]
    if [one.base for one in path] != versions[:-1] or any(b <= a for a, b in itertools.pairwise(versions)):
        return False
    if any(one.is_refused for one in path) or any(one.is_acknowledged and one not in path for one in orders):
        return False
    contents = [None, *(one.content for one in path)]
    if any((seen.version, seen.content) not in zip(versions, contents) for seen in reads):
        return False
    moments, at = [], float("-inf")
    for index, one in enumerate(path):
        seen_before = [seen.sent_at for seen in reads if seen.content == contents[index]]
        at = max([at, one.first_sent_at, *seen_before])
        until = [given.answered_at for given in one.answers(ACKNOWLEDGED)]
        until += [seen.answered_at for seen in reads if seen.content == one.content]
        if at > min(until, default=float("inf")):
            return False
        moments.append(at)
    for one in orders:
        if one.base not in versions or not one.is_valid:
            continue
        place = versions.index(one.base)
        past_at = moments[place] if place < len(moments) else float("inf")
        maker = path[place - 1] if place else None
        until = float("-inf")
        if maker is not None:
            until = [given.answered_at for given in maker.answers(ACKNOWLEDGED)]
            until += [seen.answered_at for seen in reads if seen.content == maker.content]
            until = min(until, default=float("inf"))
        for refusal in one.answers(REFUSED):
            if refusal.answered_at < past_at and until <= refusal.sent_at:
                return False
    return True


class RandomHistories(unittest.TestCase):
    def test_linearizable_histories_have_no_faults(self):
        for seed in range(60):
            self.assertEqual(check_history(*linearizable_history(seed, 120)), [], seed)

    def test_histories_of_thousands_of_calls(self):
        for seed in range(3):
            self.assertEqual(check_history(*linearizable_history(seed, 3000)), [], seed)

    def test_result_equals_that_of_a_brute_force_search(self):
        """Small histories with one changed reply or read, so that some are linearizable and some are not."""
        verdicts = {True: 0, False: 0}
        for seed in range(600):
            random_source = random.Random(f"spoiled {seed}")
            orders, reads = linearizable_history(seed, 9, lost=0.3)
            orders = orders[:5]
            kept = {one.content for one in orders} | {None}
            reads = [seen for seen in reads if seen.content in kept]
            if random_source.random() < 0.5 and reads:
                other = random_source.choice([(0, None), *((one.version, one.content) for one in orders)])
                reads[random_source.randrange(len(reads))] = Read(*other, *random_source.choice(reads)[2:])
            elif orders:
                tries = random_source.choice(orders).tries
                place = random_source.randrange(len(tries))
                tries[place] = tries[place]._replace(answer=random_source.choice((ACKNOWLEDGED, REFUSED, OPEN)))
            expected = brute_force(orders, reads)
            self.assertEqual(check_history(orders, reads) == [], expected, (seed, orders, reads))
            verdicts[expected] += 1
        self.assertGreater(min(verdicts.values()), 100, verdicts)


if __name__ == "__main__":
    unittest.main()
