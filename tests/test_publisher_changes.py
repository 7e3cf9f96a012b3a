"""Snapshots of a source whose publisher changes.

Whatever version of the source a node holds, its items must be those of the source at that version.
"""

import random
import unittest

from oakramp.gossip.state_table import StateTable

SOURCE = "s"


class Fleet:
    """State tables that pull from one another; one of them publishes the source. `truth` holds its items by version."""

    def __init__(self, seed, count=5):
        self.random, self.now = random.Random(f"takeover {seed}"), 0.0
        self.state_tables = [StateTable(self) for _ in range(count)]
        self.truth, self.version, self.publisher = {0: {}}, 0, None
        self.replies_in_flight = []

    def seconds(self):
        return self.now

    def pull(self, puller, other):
        """Merges what the puller lacks, as it would arrive over the network."""
        self.now += 0.01
        seen = puller.known_versions()
        puller.merge(other.update_for(seen), seen, self.now)

    def start_pull(self, puller, other):
        """Starts a pull whose reply arrives later, when both tables may have changed."""
        seen = puller.known_versions()
        self.replies_in_flight.append((puller, other.update_for(seen), seen, self.now))

    def deliver_reply(self):
        if self.replies_in_flight:
            puller, update, seen, asked_at = self.replies_in_flight.pop(
                self.random.randrange(len(self.replies_in_flight))
            )
            self.now += 0.01
            puller.merge(update, seen, asked_at)

    def commit(self, is_published=True):
        """Commits a change on a majority of disks; the leader may end before it publishes the change."""
        names = self.random.sample("abcdef", self.random.randint(0, 4))
        values = {name: self.random.choice((b"1", b"2")) for name in names}
        self.version += 1
        self.truth[self.version] = values
        if is_published:
            self.publish()

    def publish(self):
        self.publisher.publish(SOURCE, self.seconds)
        self.publisher.set_items(SOURCE, self.version, self.truth[self.version])

    def failover(self, state_table):
        if self.publisher is not None:
            self.publisher.retract(SOURCE)
        self.publisher = state_table
        self.publish()

    def inconsistent(self):
        return [
            (number, state_table.snapshots[SOURCE].version, state_table.values(SOURCE))
            for number, state_table in enumerate(self.state_tables)
            if SOURCE in state_table.snapshots
            and state_table.values(SOURCE) != self.truth[state_table.snapshots[SOURCE].version]
        ]


class PublisherChanges(unittest.TestCase):
    def test_a_new_publisher_that_missed_a_version_sends_the_full_snapshot(self):
        """
        former publisher          next publisher            a gateway
        1: x is a                 pulled: 1                 pulled: 1
        2: x is b, y is there                               pulled: 2
        3: x is a again, no y;
        ends before publishing    takes over at 3 --------> pulled: 3
        """
        fleet = Fleet(0, count=3)
        previous, successor, gateway = fleet.state_tables
        fleet.publisher = previous
        for version, values in ((1, {"x": b"a"}), (2, {"x": b"b", "y": b"1"})):
            fleet.version, fleet.truth[version] = version, values
            fleet.publish()
            fleet.pull(gateway, previous)
            if version == 1:
                fleet.pull(successor, previous)
        fleet.version, fleet.truth[3] = 3, {"x": b"a"}
        fleet.failover(successor)
        fleet.pull(gateway, successor)
        self.assertEqual((gateway.snapshots[SOURCE].version, gateway.values(SOURCE)), (3, {"x": b"a"}))

    def test_a_new_publisher_that_missed_nothing_sends_a_delta(self):
        fleet = Fleet(0, count=3)
        previous, successor, gateway = fleet.state_tables
        fleet.publisher = previous
        fleet.version, fleet.truth[1] = 1, {"x": b"a", "y": b"b"}
        fleet.publish()
        fleet.pull(gateway, previous)
        fleet.pull(successor, previous)
        fleet.failover(successor)
        fleet.version, fleet.truth[2] = 2, {"x": b"a", "y": b"c"}
        fleet.publish()
        (snapshot,) = successor.update_for(gateway.known_versions()).snapshots
        self.assertEqual((snapshot.whole, [item.name for item in snapshot.items]), (False, ["y"]))

    def test_snapshots_are_consistent_under_random_failovers_and_pulls(self):
        for seed in range(300):
            fleet = Fleet(seed)
            fleet.failover(fleet.state_tables[0])
            for _ in range(80):
                draw = fleet.random.random()
                if draw < 0.3:
                    fleet.commit()
                elif draw < 0.4:
                    fleet.commit(is_published=False)
                    fleet.failover(
                        fleet.random.choice([one for one in fleet.state_tables if one is not fleet.publisher])
                    )
                elif draw < 0.5:
                    fleet.failover(fleet.random.choice(fleet.state_tables))
                elif draw < 0.7:
                    fleet.pull(*fleet.random.sample(fleet.state_tables, 2))
                elif draw < 0.85:
                    fleet.start_pull(*fleet.random.sample(fleet.state_tables, 2))
                else:
                    fleet.deliver_reply()
                self.assertEqual(fleet.inconsistent(), [], (seed, fleet.truth))


if __name__ == "__main__":
    unittest.main()
