"""Guards against wrong answers of the HTTP interfaces to callers and operators, above all to invalid input.

One simulated fleet serves all tests.
"""

import unittest
from unittest import mock

from oakramp.cli import control_client
from oakramp.testbed.plan import blueprint_of
from oakramp.testbed.simfleet import SimFleet


class CommandLine(unittest.TestCase):
    """The output of the command line, by what the control nodes answered one after the other."""

    def output_of(self, method, *answers):
        rest = list(answers)

        def ask(_address, _method, _path, _value):
            answer = rest.pop(0)
            if isinstance(answer, Exception):
                raise answer
            return answer

        with mock.patch.object(control_client, "ask", ask):
            try:
                return control_client.ask_first(
                    range(len(answers)), method, "/v1/x", {}, outcome_command="oakrampctl stores"
                )
            except control_client.CommandRefusedError as error:
                return error.message.partition(" ")[0] + error.message.partition(" ")[2][:20]

    def test_an_unknown_outcome_is_never_reported_as_no(self):
        maybe = 502, {"error": "noAnswer", "verdict": "maybe", "reason": "lost"}
        no = 409, {"error": "lost", "verdict": "no", "reason": "based on version 1"}
        away = 503, {"error": "cannotTell", "verdict": "no", "reason": "nobody"}
        self.assertEqual(self.output_of("POST", maybe, no), "theoutcome is unknown (")
        self.assertEqual(self.output_of("POST", TimeoutError("silent"), no), "theoutcome is unknown (")
        self.assertEqual(self.output_of("POST", maybe, (200, {"version": 2})), {"version": 2})
        self.assertEqual(self.output_of("POST", ConnectionRefusedError("down"), no), "no:based on version 1")
        self.assertEqual(self.output_of("POST", away, away), "nocontrol node could a")
        self.assertEqual(self.output_of("GET", TimeoutError("silent"), no), "no:based on version 1")


class ApiTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = SimFleet(5).bring_up()
        cls.fleet.wait_for("the plans to reach the gateways", cls.have_plans)
        cls.gate = cls.fleet["gate0"].machine.http
        cls.control = cls.fleet["control0"].machine.http

    @classmethod
    def have_plans(cls):
        """Whether each gateway has received a plan: the first connection to a node that starts later takes a second."""
        tables = [gate.node.node.state_table.snapshots for gate in cls.fleet.of_kind("gate")]
        return all(any(source.startswith("blueprint/") for source in table) for table in tables)

    @classmethod
    def tearDownClass(cls):
        crashes = [line for line in cls.fleet.lines if "rashed" in line]
        assert not crashes, crashes

    def ask(self, method, address, path, value=None):
        return self.fleet.until(self.fleet.client._client.json(method, address, path, value, 15), 30)

    def refused(self, expected, *request, error=None):
        status, said = self.ask(*request)
        self.assertEqual((status, said.get("verdict")), (expected, "no"), said)
        if error:
            self.assertEqual(said["error"], error, said)
        return said

    def open(self, program, limit=100):
        self.assertEqual(
            self.ask("POST", self.gate, "/v1/dalatech/programs", {"program": program, "limit": limit})[0], 201
        )

    def test_programs(self):
        path = "/v1/dalatech/programs"
        self.open("a")
        self.open("a")
        self.refused(409, "POST", self.gate, path, {"program": "a", "limit": 7}, error="conflict")
        self.refused(400, "POST", self.gate, path, {"program": "b", "limit": 0})
        self.refused(400, "POST", self.gate, path, {"program": "b", "limit": -5})
        self.refused(400, "POST", self.gate, path, {"program": "b", "limit": True})
        self.refused(400, "POST", self.gate, path, {"program": "b", "limit": 10**9})
        self.refused(400, "POST", self.gate, path, {"program": "b/c"})
        self.refused(400, "POST", self.gate, path, {"limit": 3})
        self.refused(404, "POST", self.gate, "/v1/nobody/programs", {"program": "b"}, error="unknown")
        self.refused(404, "GET", self.gate, f"{path}/nothing", None)
        self.assertEqual(
            self.ask("GET", self.gate, f"{path}/a")[1],
            {"program": "a", "state": "open", "limit": 100, "spent": 0, "reserved": 0, "open": 0},
        )

    def test_ended_program(self):
        """A program that was ended at a gateway or a control node rejects everything from then on, with verdict no."""
        path = "/v1/dalatech/programs"
        for program, address, end in (
            ("e1", self.gate, f"{path}/e1/end"),
            ("e2", self.control, "/v1/programs/dalatech/e2/end"),
        ):
            self.refused(404, "POST", address, end, {}, error="unknown")
            self.open(program)
            self.assertEqual(self.ask("POST", address, end, {})[1]["state"], "ending")
            for _ in range(2):
                self.refused(410, "POST", self.gate, path, {"program": program, "limit": 100}, error="ended")
                self.refused(
                    410,
                    "POST",
                    self.gate,
                    f"{path}/{program}/lines/l/turns",
                    {"turnId": "t1", "binding": "chat", "after": None, "input": "x"},
                    error="ended",
                )
                self.fleet.run(6.0)
                self.assertEqual(self.ask("POST", address, end, {})[1]["state"], "ended")
            self.refused(410, "GET", self.gate, f"{path}/{program}", None, error="ended")
        self.refused(400, "POST", self.gate, f"{path}/a%20b/end", {})

    def test_turns(self):
        self.open("t")
        path = "/v1/dalatech/programs/t/lines/l/turns"
        good = {"turnId": "t1", "binding": "chat", "after": None, "input": "x"}
        for changes in (
            {"turnId": ""},
            {"turnId": "a b"},
            {"binding": 3},
            {"after": 5},
            {"input": ""},
            {"input": ["x"]},
            {"timeLeft": 0},
            {"timeLeft": "soon"},
            {"maxOutput": 0},
            {"extra": 1},
        ):
            said = self.refused(400, "POST", self.gate, path, good | changes, error="badRequest")
            self.assertTrue(said["detail"][0].startswith(next(iter(changes)) + ":"), said)
        self.refused(404, "POST", self.gate, path, good | {"binding": "nothing"})
        self.refused(400, "POST", self.gate, path, good | {"binding": "results"})
        self.refused(404, "POST", self.gate, "/v1/dalatech/programs/none/lines/l/turns", good)
        self.refused(410, "POST", self.gate, path, good | {"turnId": "t2", "after": "none"}, error="gone")
        self.assertEqual(self.ask("GET", self.gate, "/v1/dalatech/programs/t")[1]["open"], 0)
        self.assertEqual(self.fleet.record.runs, [run for run in self.fleet.record.runs if run.kind != "turn"])

    def test_plain(self):
        path = "/v1/nile/plain/notices"
        for value in ({}, {"body": 3}, {"body": {}, "key": ""}, {"body": {}, "key": "a/b"}, {"body": {}, "x": 1}):
            self.refused(400, "POST", self.gate, path, value)
        self.refused(404, "POST", self.gate, "/v1/nile/plain/nothing", {"body": {}})
        self.refused(400, "POST", self.gate, "/v1/nile/plain/chat", {"body": {}})
        self.assertEqual(self.ask("POST", self.gate, path, {"body": {"a": 1}, "key": "k"})[0], 200)
        self.refused(409, "POST", self.gate, path, {"body": {"a": 2}, "key": "k"}, error="conflict")
        status, said = self.ask("POST", self.gate, path, {"body": {"a": 1}, "key": "k"})
        self.assertEqual((status, said["kept"]), (200, True))

    def test_bodies(self):
        client = self.fleet.client._client
        self.refused(404, "POST", self.gate, "/v2/x", {})
        self.refused(400, "DELETE", self.gate, "/condition", None)
        for data, expected in (
            (b"{", 400),
            (b"[]", 400),
            (b"\xff\xfe", 400),
            (b"[" * 100000, 400),
            (b'{"x":"' + b"y" * (1 << 20) + b'"}', 413),
        ):
            self.assertEqual(self.raw(client, data), expected, data[:20])
        self.assertEqual(self.ask("GET", self.gate, "/condition")[1]["condition"], "ready")

    def raw(self, client, data):
        from oakramp.common import http_client

        kept = http_client.pack_json
        http_client.pack_json = lambda value: data
        try:
            return self.fleet.until(client.data("POST", self.gate, "/v1/dalatech/programs", {}, 10), 20)[0]
        finally:
            http_client.pack_json = kept

    def test_operators(self):
        path = "/v1/blueprints/nile"
        bad = blueprint_of("nile", "nile-plan-9")
        bad["bindings"]["chat"]["pool"] = "no pool"
        said = self.refused(422, "PUT", self.control, path, {"changeId": "x1", "basedOn": 1, "blueprint": bad})
        self.assertEqual(said["detail"][0].partition(":")[0], "bindings.chat.pool")
        said = self.refused(
            409,
            "PUT",
            self.control,
            path,
            {"changeId": "x2", "basedOn": 0, "blueprint": blueprint_of("nile")},
            error="lost",
        )
        self.assertEqual(said["detail"], {"version": 1})
        for value in (
            {"basedOn": 1},
            {"changeId": "x3", "basedOn": 1},
            {"changeId": "x", "basedOn": "1"},
            {"changeId": "x3", "basedOn": 1, "blueprint": {}, "change": "setShare"},
        ):
            self.refused(400, "PUT", self.control, path, value)
        self.refused(
            404,
            "POST",
            self.control,
            path + "/changes",
            {"changeId": "x4", "basedOn": 1, "change": "paint", "arguments": {}},
        )
        self.refused(
            422,
            "POST",
            self.control,
            path + "/changes",
            {"changeId": "x5", "basedOn": 1, "change": "removeBinding", "arguments": {"name": "none"}},
        )
        self.refused(404, "GET", self.control, path + "?version=9", None)
        self.refused(400, "GET", self.control, path + "?version=x", None)
        self.refused(404, "GET", self.control, "/v1/blueprints/nobody", None)
        self.refused(404, "POST", self.control, "/v1/replicas/none/leaving", {})
        self.assertEqual(self.ask("GET", self.control, path)[1]["version"], 1, "none of these requests took effect")
        change = {"changeId": "y1", "basedOn": 1, "change": "setShare", "arguments": {"share": 3}}
        for _ in range(2):
            status, said = self.ask("POST", self.control, path + "/changes", change)
            self.assertEqual((status, said["outcome"], said["version"]), (200, "accepted", 2))
        self.assertEqual(self.ask("GET", self.control, path + "/changes/y1")[1]["version"], 2)
        self.assertEqual(self.ask("GET", self.control, path + "/changes/y2")[1]["outcome"], "notAccepted")
        self.assertEqual(self.ask("GET", self.control, path)[1]["blueprint"]["share"], 3)

    def test_a_plan_that_strands_programs_is_accepted_with_a_warning(self):
        """An empty pool and removed bindings cause warnings; the plan is valid, so it is the operator's decision."""
        path = "/v1/blueprints/dalatech"
        version = self.ask("GET", self.control, path)[1]["version"]
        self.open("s")
        plan = blueprint_of("dalatech", f"dalatech-plan-{version + 1}")
        plan["bindings"]["ask"]["pool"] = "nowhere"
        del plan["bindings"]["results-read"]
        status, said = self.ask("PUT", self.control, path, {"changeId": "w1", "basedOn": version, "blueprint": plan})
        self.assertEqual((status, said["outcome"]), (200, "accepted"))
        self.assertEqual(
            said["warnings"],
            [
                "bindings.ask.pool: nowhere has no ready replica",
                "bindings.results-read: is gone; requests that name it are refused",
            ],
        )
        self.refused(
            422,
            "PUT",
            self.control,
            path,
            {"changeId": "w2", "basedOn": version + 1, "blueprint": plan | {"colour": "red"}},
            error="invalid",
        )
        self.assertEqual(self.ask("GET", self.control, path)[1]["version"], version + 1)

    def test_init_of_a_cluster_member_is_refused(self):
        self.refused(400, "POST", self.control, "/v1/init", {"clusterId": "other"})
        node_id = self.fleet["control0"].node.node.node_id
        self.refused(
            409,
            "POST",
            self.control,
            "/v1/init",
            {"clusterId": "other", "roster": {node_id: self.fleet["control0"].machine.peer}},
        )

    def test_lists(self):
        self.assertEqual(len(self.ask("GET", self.control, "/v1/nodes")[1]["nodes"]), 10)
        self.assertEqual(len(self.ask("GET", self.control, "/v1/replicas")[1]["replicas"]), 8)
        self.assertEqual(
            {row["condition"] for row in self.ask("GET", self.control, "/v1/stores")[1]["stores"]}, {"live"}
        )
        self.assertTrue(all(row["owner"] for row in self.ask("GET", self.control, "/v1/slots")[1]["slots"]))
        for name in ("gate0", "store0", "control0"):
            text = self.fleet.until(
                self.fleet.client._client.data("GET", self.fleet[name].machine.http, "/metrics", None, 5)
            )[1].decode()
            self.assertIn("oak_", text)
