"""Guards against nodes that regard a routing version as the newest as of a time when a newer one was already confirmed,
and against gateways that use an older version for longer than the bound after a newer one was confirmed.

Symptom: a gateway answered 404 for a route 2.5 s after its version had been confirmed, where 2 s are allowed.
Sequence: the leader of the routing lost power for 8 s, returned, led again, and confirmed changes that only it and the
voters' disks had, until TCP retransmitted on its peers' old connections, 4.6 s after its return.
Cause: a gateway always granted itself the allowance for an unsettled control plane, so it used a table that it knew to
be more than 2 s old. Its age was right, so the trial must tell this from a wrong age, and from a former leader that
confirms an old table.
Evidence from two trials of the same kind: `routing_change_committed version=406` at 29.13 and `version=424` at 30.08,
`routing_applied` of either at no gateway before 32.84, and in between `failover_started ... silent_s=3.240 expired=no`
for all shards of the node that had returned. Since silent connections are replaced: 0.39 s in the same trials.
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from routing_age_trial import RoutingAgeTrial  # noqa: E402

SEEDS = (1, 3, 4)  # of seeds 1 to 20; each planted code mutation is found by at least one of these


class RoutingAges(unittest.TestCase):
    def test_ages_are_right_and_no_outdated_version_is_used(self):
        for seed in SEEDS:
            trial = RoutingAgeTrial(seed, seconds=20.0).play()
            self.assertGreater(len(trial.confirmed), 50, f"seed {seed}")
            self.assertEqual(trial.wrong_ages, [], f"seed {seed}")
            self.assertEqual(trial.outdated_uses, [], f"seed {seed}")


if __name__ == "__main__":
    unittest.main()
