"""Failure: in a fleet with tenants' keys, replicas got work that nobody had sent, or went on getting a removed key's.

The checker that ends each timeline holds every run against the keys: relay_checker, "UNASKED tenants", "UNASKED
chains", "ROUTE" and "CONFIG age". One gateway alone is tried in test_tenant_keys.
"""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.tasks import sleep, spawn  # noqa: E402
from relay_fleet import BOUNDS  # noqa: E402
from test_relay import Loaded, Timeline  # noqa: E402

IN_FORCE_S = BOUNDS["edition_ms"] / 1000 + 0.5  # s; after a change's acknowledgement every gateway goes by it


class OfTenants:
    """A fleet whose first configuration has two tenants."""

    def setUp(self):
        self.options = {"cores": 3, "gates": 2, "tenants": {"north": ["north-1", "north-2"], "south": ["south-1"]}}
        super().setUp()

    def give(self, name, keys):
        """Gives the tenant these keys in place of those that it has, and waits until that is in force everywhere."""
        change = self.fleet.adopt(self.fleet.until(self.fleet.change_tenant(name, keys)))
        self.assertEqual(change.outcome, "taken")
        self.fleet.run(IN_FORCE_S)

    def statuses(self, **more):
        """What a request of each kind gets with this key."""
        client = self.client
        works = (client.safe, client.unsafe, client.tracked, client.generate)
        return {self.shown(self.fleet.until(work(**more)))[-1] for work in works}


class Served(OfTenants, Timeline):
    def test_each_kind_for_each_tenant(self):
        for key in ("north-1", "north-2", "south-1"):
            self.assertEqual(self.statuses(api_key=key), {200}, key)
        for key in (None, "nobody's", "north-1,south-1"):
            self.assertEqual(self.statuses(api_key=key), {401}, key)

    def test_what_a_client_says_of_its_tenant_is_not_passed_on(self):
        said = [("Sender", "south"), ("sENDER", "nobody"), ("Connection", "Sender, keep-alive")]
        self.assertEqual(self.statuses(api_key="north-1", headers=said), {200})

    def test_programs_of_both_tenants(self):
        for _ in range(4):
            program = self.fleet.until(self.client.program(helpers=1.0, tools=2))
            self.assertEqual(program.outcome, "done")


class Changed(OfTenants, Timeline):
    def test_keys_come_and_go(self):
        self.give("north", ["north-2", "north-3"])
        self.assertEqual(self.statuses(api_key="north-3"), {200})
        self.assertEqual(self.statuses(api_key="north-2"), {200})
        self.assertEqual(self.statuses(api_key="north-1"), {401})

    def test_a_key_goes_on_a_connection_that_stays_open(self):
        first = self.fleet.until(self.client.safe(api_key="north-1", fresh=False))
        self.give("north", ["north-2"])
        second = self.fleet.until(self.client.safe(api_key="north-1", fresh=False))
        self.assertEqual((self.shown(first), self.shown(second)), ([200], [401]))

    def test_a_key_goes_while_its_request_waits(self):
        """
        client         gate        operator
        north-1  ----> no place
                           <------ north-1 is no key any more
        401     <----- a place
        """
        for replica in self.fleet.of_service("api"):
            replica.work_s, replica.queue = 2.5, 0
        for _ in range(sum(replica.slots for replica in self.fleet.of_service("api"))):
            self.fleet.begin(self.client.unsafe(further=0, seconds=6.0, api_key="south-1"))
        self.fleet.run(0.2)
        waiting = self.fleet.begin(self.client.unsafe(further=0, seconds=6.0, api_key="north-1"))
        self.fleet.run(0.1)
        self.give("north", ["north-2"])
        self.fleet.wait_for("the answer", lambda: waiting)
        self.assertNotIn(200, self.shown(waiting[0]))
        self.assertEqual(self.runs_of(waiting[0]), [])

    def test_a_gateway_that_may_lack_a_new_key_does_not_call_it_unknown(self):
        """
        gate0       core        client
          x cut from all
                    north-3 is taken
        503  <----------------- north-3, at gate0
        """
        others = [name for name in self.fleet.machines if name != "gate0"]
        heal = self.fleet.cut(["gate0"], others)
        self.give("north", ["north-1", "north-3"])
        tries = self.fleet.until(self.client.unsafe(api_key="north-3", gate=self.fleet["gate0"], further=0))
        self.assertEqual(self.shown(tries), [503])
        heal()
        self.fleet.run(3.0)
        tries = self.fleet.until(self.client.unsafe(api_key="north-3", gate=self.fleet["gate0"]))
        self.assertEqual(self.shown(tries), [200])


class Chains(OfTenants, Timeline):
    def turn_of(self, tenant, previous=None, **more):
        program = self.client.open_program()
        program.tenant = tenant
        turn = self.client.turn(program, self.client.mint("s"), previous and previous.try_id, **more)
        return self.fleet.until(turn)

    def test_only_its_own_tenant_goes_on_from_a_turn(self):
        first = self.turn_of("north")
        self.assertEqual(self.turn_of("south", first).status, 404)
        second = self.turn_of("north", first)
        self.assertEqual(second.status, 200)
        self.assertEqual(self.turn_of("south", second).status, 404)

    def test_a_turn_is_kept_through_the_loss_of_those_who_served_it(self):
        first = self.turn_of("north")
        self.fleet["store0"].power_cut()
        self.fleet["gate0"].kill()
        self.fleet.run(1.0)
        for name in ("store0", "gate0"):
            self.fleet[name].start()
        self.fleet.run(8.0)
        self.assertEqual(self.turn_of("north", first).status, 200)
        self.assertEqual(self.turn_of("south", first).status, 404)

    def test_one_operation_key_of_two_tenants_runs_for_each(self):
        tries = [
            self.fleet.until(self.client.tracked(key="k", api_key=api_key))[-1]
            for api_key in ("north-1", "south-1", "north-2")
        ]
        self.assertEqual([one.status for one in tries], [200, 200, 200])
        self.assertEqual(tries[0].stamp, tries[2].stamp)
        self.assertNotEqual(tries[0].stamp, tries[1].stamp)


class UnderLoad(OfTenants, Loaded):
    def test_keys_come_and_go_under_load(self):
        self.load(8.0)

        async def change_keys():
            for number in range(3, 6):
                change = await self.fleet.change_tenant("north", [f"north-{number}", f"north-{number - 1}"])
                self.fleet.adopt(change)
                await sleep(self.client.reactor, 1.5)

        spawn(change_keys(), self.fleet.lab_log)
        self.assertGreater(self.finish(), 0.9)
