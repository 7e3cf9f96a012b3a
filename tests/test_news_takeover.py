"""Images of a source whose writer changes: whatever a node has at a version is what the source was at that version."""

import random
import unittest

from oakramp.gossip.state_table import StateTable

SOURCE = "s"


class Fleet:
    """Boards that pull from one another; one of them speaks for the source. `truth` holds its values at each version."""

    def __init__(self, seed, count=5):
        self.random, self.now = random.Random(f"takeover {seed}"), 0.0
        self.state_tables = [StateTable(self) for _ in range(count)]
        self.truth, self.version, self.owner = {0: {}}, 0, None
        self.on_their_way = []

    def seconds(self):
        return self.now

    def pull(self, gossip_client, other):
        """All that the one lacks, as it would come over the wire."""
        self.now += 0.01
        seen = gossip_client.known_versions()
        gossip_client.merge(other.update_for(seen), seen, self.now)

    def ask(self, gossip_client, other):
        """The same, but the answer comes later, when both may have moved on."""
        seen = gossip_client.known_versions()
        self.on_their_way.append((gossip_client, other.update_for(seen), seen, self.now))

    def answer(self):
        if self.on_their_way:
            gossip_client, news, seen, asked_at = self.on_their_way.pop(self.random.randrange(len(self.on_their_way)))
            self.now += 0.01
            gossip_client.merge(news, seen, asked_at)

    def commit(self, is_published=True):
        """A change that is on a majority of disks; who made it may end before it tells anybody."""
        names = self.random.sample("abcdef", self.random.randint(0, 4))
        values = {name: self.random.choice((b"1", b"2")) for name in names}
        self.version += 1
        self.truth[self.version] = values
        if is_published:
            self.publish()

    def publish(self):
        self.owner.publish(SOURCE, self.seconds)
        self.owner.set_items(SOURCE, self.version, self.truth[self.version])

    def failover(self, state_table):
        if self.owner is not None:
            self.owner.retract(SOURCE)
        self.owner = state_table
        self.publish()

    def torn(self):
        return [
            (number, state_table.snapshots[SOURCE].version, state_table.values(SOURCE))
            for number, state_table in enumerate(self.state_tables)
            if SOURCE in state_table.snapshots
            and state_table.values(SOURCE) != self.truth[state_table.snapshots[SOURCE].version]
        ]


class TakeOver(unittest.TestCase):
    def test_new_owner_that_had_not_heard_of_a_version_which_others_have(self):
        """
        former owner              next owner                a gate
        1: x is a                 pulled: 1                 pulled: 1
        2: x is b, y is there                               pulled: 2
        3: x is a again, no y;
        ends before it tells it   takes over at 3 --------> pulled: 3
        """
        fleet = Fleet(0, count=3)
        previous, successor, gate = fleet.state_tables
        fleet.owner = previous
        for version, values in ((1, {"x": b"a"}), (2, {"x": b"b", "y": b"1"})):
            fleet.version, fleet.truth[version] = version, values
            fleet.publish()
            fleet.pull(gate, previous)
            if version == 1:
                fleet.pull(successor, previous)
        fleet.version, fleet.truth[3] = 3, {"x": b"a"}
        fleet.failover(successor)
        fleet.pull(gate, successor)
        self.assertEqual((gate.snapshots[SOURCE].version, gate.values(SOURCE)), (3, {"x": b"a"}))

    def test_an_owner_that_heard_of_all_gives_only_what_changed(self):
        fleet = Fleet(0, count=3)
        previous, successor, gate = fleet.state_tables
        fleet.owner = previous
        fleet.version, fleet.truth[1] = 1, {"x": b"a", "y": b"b"}
        fleet.publish()
        fleet.pull(gate, previous)
        fleet.pull(successor, previous)
        fleet.failover(successor)
        fleet.version, fleet.truth[2] = 2, {"x": b"a", "y": b"c"}
        fleet.publish()
        (snapshot,) = successor.update_for(gate.known_versions()).snapshots
        self.assertEqual((snapshot.whole, [item.name for item in snapshot.items]), (False, ["y"]))

    def test_whoever_takes_over_and_whoever_pulls_from_whom(self):
        for seed in range(300):
            fleet = Fleet(seed)
            fleet.failover(fleet.state_tables[0])
            for _ in range(80):
                draw = fleet.random.random()
                if draw < 0.3:
                    fleet.commit()
                elif draw < 0.4:
                    fleet.commit(is_published=False)
                    fleet.failover(fleet.random.choice([one for one in fleet.state_tables if one is not fleet.owner]))
                elif draw < 0.5:
                    fleet.failover(fleet.random.choice(fleet.state_tables))
                elif draw < 0.7:
                    fleet.pull(*fleet.random.sample(fleet.state_tables, 2))
                elif draw < 0.85:
                    fleet.ask(*fleet.random.sample(fleet.state_tables, 2))
                else:
                    fleet.answer()
                self.assertEqual(fleet.torn(), [], (seed, fleet.truth))


if __name__ == "__main__":
    unittest.main()
