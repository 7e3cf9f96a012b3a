"""The doctor finds each planted fault, and nothing on a healthy fleet."""

import copy
import unittest

from oakramp.cli.doctor import CHECKS, examine, take_survey, worst_code
from oakramp.common.errors import OakrampError
from oakramp.testbed.simfleet import SimFleet


def survey_of(fleet):
    def ask(address, path):
        status, response = fleet.until(fleet.operator._client.json("GET", address, path, None, 3))
        assert status == 200, response
        return response

    def ask_node(address):
        try:
            return ask(address, "/condition")
        except OakrampError as error:
            return "refused" if error.code == "unreachable" else "silent"

    return take_survey(lambda path: ask(fleet["control1"].machine.http, path), ask_node)


class Doctor(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = SimFleet(2).bring_up()
        cls.fleet.run(8.0)
        cls.healthy = survey_of(cls.fleet)

    def found(self, plant):
        survey = copy.deepcopy(self.healthy)
        plant(survey)
        return examine(survey)

    def first(self, survey, kind):
        return survey.reports(kind)[0]

    def test_no_findings_on_a_healthy_fleet(self):
        self.assertEqual(examine(self.healthy), [])

    def test_each_planted_fault_is_found(self):
        def unreachable(survey):
            survey.conditions[self.first(survey, "gate")["nodeId"]] = "refused"

        def frozen(survey):
            survey.conditions[self.first(survey, "gate")["nodeId"]] = "silent"

        def set_(kind, *path, to):
            def plant(survey):
                place = self.first(survey, kind)
                for name in path[:-1]:
                    place = place[name]
                place[path[-1]] = to

            return plant

        def damaged(survey):
            node_id = self.first(survey, "store")["nodeId"]
            survey.conditions[node_id] = {"condition": "damaged", "machine": "m", "reason": "record 7 cannot be read"}

        store_id = self.healthy.stores["members"][0]["nodeId"]
        planted = [
            ("nodes", 4, unreachable),
            ("nodes", 4, frozen),
            ("damage", 4, damaged),
            ("seeds", 3, set_("gate", "seeds", "1.2.3.4:5", to=False)),
            ("clocks", 3, set_("store", "clock", "jumps", to=2)),
            ("eviction", 3, set_("control", "eviction", to="on")),
            ("platform", 3, set_("control", "platform", to=False)),
            ("platform", 3, set_("control", "platform", to=None)),
            ("disks", 3, set_("store", "disk", "syncSeconds", to=0.7)),
            ("disks", 4, set_("control", "disk", "broken", to="I/O error")),
            ("disks", 3, set_("store", "disk", "liveBytes", to=10**9)),
            ("slots", 4, lambda survey: survey.shards[3].update(owner=None)),
            ("slots", 4, lambda survey: survey.shards[3].update(age=9.0)),
            (
                "roster",
                4,
                lambda survey: [
                    survey.conditions.update({response["nodeId"]: "refused"})
                    for response in survey.reports("control")[:2]
                ],
            ),
            ("majority", 4, set_("control", "majority", to=False)),
            ("catching up", 3, set_("control", "votersBehind", to=2)),
            ("stores", 4, lambda survey: survey.conditions.update({store_id: "refused"})),
            ("stores", 3, lambda survey: survey.conditions[store_id].update(covers=False)),
            ("hints", 3, set_("store", "hints", store_id, to=7)),
            ("copies", 3, lambda survey: survey.conditions[store_id].update(lines=500)),
            ("news", 4, set_("gate", "stale", "nile", to="the blueprint is too old")),
            ("versions", 3, set_("gate", "release", to="0.2.0")),
            ("bindings", 4, lambda survey: survey.blueprints["nile"]["bindings"]["chat"].update(pool="nowhere")),
        ]
        self.assertEqual({name for name, _, _ in planted}, set(CHECKS.names()))
        for name, code, plant in planted:
            findings = self.found(plant)
            self.assertIn(name, {finding.check for finding in findings}, name)
            self.assertEqual(worst_code(findings), code, (name, findings))

    def test_on_a_fleet_with_faults(self):
        fleet = SimFleet(3).bring_up()
        fleet["gate0"].kill()
        fleet["control4"].freeze()
        fleet["store2"].kill()
        fleet.run(3.0)
        fleet.until(fleet.client.open_program("nile", "p", 100))
        self.assertTrue(fleet.until(fleet.client.turn("nile", "p", "l", None, "x")).ended())
        fleet.run(6.0)
        found = {finding.check for finding in examine(survey_of(fleet))}
        self.assertEqual(found, {"nodes", "roster", "stores", "hints"})
