"""Guards against replicas in a fleet that run requests which no tenant sent, or with a key that was revoked.

The checker at the end of each timeline compares every run with the keys in force: relay_checker, "UNASKED tenants",
"UNASKED chains", "ROUTE" and "CONFIG age". test_tenant_keys covers a single gateway.
"""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.tasks import sleep, spawn  # noqa: E402
from relay_fleet import BOUNDS  # noqa: E402
from test_relay import SteadyLoad, Timeline  # noqa: E402

IN_FORCE_S = BOUNDS["edition_ms"] / 1000 + 0.5  # s; from the acknowledgement of a change until every gateway applies it


class TenantFleet:
    """A fleet whose first configuration has two tenants."""

    def setUp(self):
        self.options = {"cores": 3, "gates": 2, "tenants": {"north": ["north-1", "north-2"], "south": ["south-1"]}}
        super().setUp()

    def set_keys(self, name, keys):
        """Replaces the keys of the tenant, and waits until the change is in force at every gateway."""
        change = self.fleet.adopt(self.fleet.until(self.fleet.change_tenant(name, keys)))
        self.assertEqual(change.outcome, "taken")
        self.fleet.run(IN_FORCE_S)

    def statuses(self, **more):
        """The final statuses of one request of each kind, sent with the given options."""
        client = self.client
        works = (client.safe, client.unsafe, client.tracked, client.generate)
        return {self.results(self.fleet.until(work(**more)))[-1] for work in works}


class Authentication(TenantFleet, Timeline):
    def test_requests_of_each_kind_are_served_only_with_a_known_key(self):
        for key in ("north-1", "north-2", "south-1"):
            self.assertEqual(self.statuses(api_key=key), {200}, key)
        for key in (None, "nobody's", "north-1,south-1"):
            self.assertEqual(self.statuses(api_key=key), {401}, key)

    def test_sender_headers_of_clients_are_not_forwarded(self):
        sent_headers = [("Sender", "south"), ("sENDER", "nobody"), ("Connection", "Sender, keep-alive")]
        self.assertEqual(self.statuses(api_key="north-1", headers=sent_headers), {200})

    def test_programs_of_both_tenants_complete(self):
        for _ in range(4):
            program = self.fleet.until(self.client.program(helpers=1.0, tools=2))
            self.assertEqual(program.outcome, "done")


class KeyChanges(TenantFleet, Timeline):
    def test_added_keys_are_accepted_and_revoked_keys_rejected(self):
        self.set_keys("north", ["north-2", "north-3"])
        self.assertEqual(self.statuses(api_key="north-3"), {200})
        self.assertEqual(self.statuses(api_key="north-2"), {200})
        self.assertEqual(self.statuses(api_key="north-1"), {401})

    def test_a_revoked_key_is_rejected_on_an_open_connection(self):
        first = self.fleet.until(self.client.safe(api_key="north-1", fresh=False))
        self.set_keys("north", ["north-2"])
        second = self.fleet.until(self.client.safe(api_key="north-1", fresh=False))
        self.assertEqual((self.results(first), self.results(second)), ([200], [401]))

    def test_a_request_whose_key_is_revoked_while_it_waits_does_not_run(self):
        """
        client         gateway     operator
        north-1  ----> no free slot
                           <------ north-1 is revoked
        401     <----- a free slot
        """
        for replica in self.fleet.of_service("api"):
            replica.work_s, replica.queue = 2.5, 0
        for _ in range(sum(replica.slots for replica in self.fleet.of_service("api"))):
            self.fleet.begin(self.client.unsafe(retries=0, seconds=6.0, api_key="south-1"))
        self.fleet.run(0.2)
        waiting = self.fleet.begin(self.client.unsafe(retries=0, seconds=6.0, api_key="north-1"))
        self.fleet.run(0.1)
        self.set_keys("north", ["north-2"])
        self.fleet.wait_for("the response", lambda: waiting)
        self.assertNotIn(200, self.results(waiting[0]))
        self.assertEqual(self.runs_of(waiting[0]), [])

    def test_a_partitioned_gateway_answers_an_unknown_key_with_503(self):
        """
        gate0       core        client
          x partitioned from all
                    north-3 is added
        503  <----------------- north-3, at gate0
        """
        others = [name for name in self.fleet.machines if name != "gate0"]
        heal = self.fleet.cut(["gate0"], others)
        self.set_keys("north", ["north-1", "north-3"])
        attempts = self.fleet.until(self.client.unsafe(api_key="north-3", gate=self.fleet["gate0"], retries=0))
        self.assertEqual(self.results(attempts), [503])
        heal()
        self.fleet.run(3.0)
        attempts = self.fleet.until(self.client.unsafe(api_key="north-3", gate=self.fleet["gate0"]))
        self.assertEqual(self.results(attempts), [200])


class TurnHistories(TenantFleet, Timeline):
    def turn_of(self, tenant, previous=None, **more):
        program = self.client.open_program()
        program.tenant = tenant
        turn = self.client.turn(program, self.client.mint("s"), previous and previous.try_id, **more)
        return self.fleet.until(turn)

    def test_only_the_same_tenant_can_continue_a_turn(self):
        first = self.turn_of("north")
        self.assertEqual(self.turn_of("south", first).status, 404)
        second = self.turn_of("north", first)
        self.assertEqual(second.status, 200)
        self.assertEqual(self.turn_of("south", second).status, 404)

    def test_a_turn_survives_a_crash_of_a_store_and_a_gateway(self):
        first = self.turn_of("north")
        self.fleet["store0"].power_cut()
        self.fleet["gate0"].kill()
        self.fleet.run(1.0)
        for name in ("store0", "gate0"):
            self.fleet[name].start()
        self.fleet.run(8.0)
        self.assertEqual(self.turn_of("north", first).status, 200)
        self.assertEqual(self.turn_of("south", first).status, 404)

    def test_one_operation_key_runs_once_for_each_tenant(self):
        attempts = [
            self.fleet.until(self.client.tracked(key="k", api_key=api_key))[-1]
            for api_key in ("north-1", "south-1", "north-2")
        ]
        self.assertEqual([one.status for one in attempts], [200, 200, 200])
        self.assertEqual(attempts[0].stamp, attempts[2].stamp)
        self.assertNotEqual(attempts[0].stamp, attempts[1].stamp)


class UnderLoad(TenantFleet, SteadyLoad):
    def test_keys_change_under_load(self):
        self.load(8.0)

        async def change_keys():
            for number in range(3, 6):
                change = await self.fleet.change_tenant("north", [f"north-{number}", f"north-{number - 1}"])
                self.fleet.adopt(change)
                await sleep(self.client.reactor, 1.5)

        spawn(change_keys(), self.fleet.lab_log)
        self.assertGreater(self.finish(), 0.9)
