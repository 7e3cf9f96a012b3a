"""Goodput of admission control under overload, and full recovery after a rush, in the model of the engines.

Guards against overload collapse: with four times the users for ten seconds, four of ten replicas lost meanwhile and no
admission control, one in 500 of the programs that began late in the rush ended in time, and none in the ten seconds
after it. Replicas interleave prefill with the decoding of all running requests, so all turns slow down together, and
programs that leave their replica have their prompts prefilled again. The requests did not wait at the gateways: first
events came 0.3 to 1.9 s after the selection of the replica (entry 4a1cf1f7). In this model, of 48 programs per second
10.3 are earned if all may begin, 33.2 with admission control, and 38.1 with hindsight.
"""

import unittest
from xml.etree import ElementTree

from oakramp.testbed.rush import Scene, play
from oakramp.testbed.rush_plot import plot
from oakramp.testbed.rush_sizing import SIZING_SCENES, play_orders


class Policies(unittest.TestCase):
    def test_below_capacity_programs_end_in_time(self):
        self.assertGreater(play("gateways", Scene(rate=20), seed=1).earned(), 0.98)

    def test_beyond_capacity_goodput_is_near_that_of_hindsight(self):
        """Relative to a central scheduler that knows all programs, with the limit that proved to be the best."""
        for rate, least in ((36, 0.9), (48, 0.8), (72, 0.7)):
            with self.subTest(rate=rate):
                best = play("hindsight", Scene(rate), seed=1).goodput()
                self.assertGreater(play("gateways", Scene(rate), seed=1).goodput(), least * best)

    def test_without_admission_control_most_goodput_is_lost(self):
        self.assertLess(play("no admission", Scene(48), 1).goodput(), 0.5 * play("gateways", Scene(48), 1).goodput())

    def test_hardly_any_rejected_program_has_run_a_turn(self):
        site = play("gateways", Scene(48), seed=2)
        refused = [one for one in site.programs if one.ended_at is None]
        remembered = {name for gateway in site.gateways for name in gateway.programs._last_replica_ids}
        begun = [one for one in refused if one.name in remembered]
        self.assertGreater(len(refused), 100)
        self.assertLess(len(begun), 0.02 * len(refused))


class RecoveryAfterARush(unittest.TestCase):
    """Normal load, then four times as much for six seconds, then normal load again."""

    SCENE = Scene(rate=16, rush_rate=64, rush_from=4.0, rush_to=10.0)

    def test_programs_end_in_time_a_second_after_the_rush(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                self.assertGreater(play("gateways", self.SCENE, seed).earned(since=11.0), 0.95)

    def test_without_admission_control_the_overload_persists(self):
        self.assertLess(play("no admission", self.SCENE, 1).earned(since=11.0), 0.6)

    def test_a_seed_repeats_exactly(self):
        first, second = (play("gateways", self.SCENE, 3) for _ in range(2))
        self.assertEqual(
            [(one.name, one.earned) for one in first.programs], [(one.name, one.earned) for one in second.programs]
        )


class Plot(unittest.TestCase):
    def test_each_policy_has_a_line_and_a_label(self):
        drawn = ElementTree.fromstring(plot([10, 20], {"one & all": [1.0, 2.0], "other": [0.0, 4.0]}))
        names = [one.text for one in drawn.iter() if one.tag.endswith("text")]
        lines = [one for one in drawn.iter() if one.tag.endswith("polyline")]
        self.assertLessEqual({"one & all", "other"}, set(names))
        self.assertEqual(len(lines), 2 + 2, "two axes, two policies")


class Autoscaling(unittest.TestCase):
    """Autoscaling by demand earns nearly as much as the maximum number of replicas, with fewer of them."""

    def test_demand_earns_most_of_the_gain_in_a_rush_with_fewer_replicas(self):
        scene = SIZING_SCENES["a rush"]
        never, most, demand = (play_orders(policy, scene, 1) for policy in ("never", "most", "demand"))
        self.assertGreater(demand.earned(), never.earned() + 0.7 * (most.earned() - never.earned()))
        self.assertLess(demand.replica_seconds, 0.8 * most.replica_seconds)

    def test_demand_uses_fewer_replicas_in_normal_load(self):
        scene = SIZING_SCENES["calm"]
        never, demand = (play_orders(policy, scene, 1) for policy in ("never", "demand"))
        self.assertGreater(demand.earned(), never.earned() - 0.01)
        self.assertLess(demand.replica_seconds, 0.8 * never.replica_seconds)


if __name__ == "__main__":
    unittest.main()
