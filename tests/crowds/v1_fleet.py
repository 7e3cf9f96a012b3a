"""The product's own small fleet with its interface `/v1`, whose gateway has lowered limits."""

import json
import os
import pathlib
import resource
import shutil
import subprocess
import tempfile

from process_fleet import DESCRIPTORS, MEMORY_MB, TRY_TIME, Fleet, Node

from oakramp.testbed import fleet as testbed
from oakramp.testbed.plan import env_of


class V1Fleet:
    """The testbed's small fleet; the process `gate0` is the attacked one."""

    TARGET = "gate0"
    ask = Fleet.ask
    is_answered = Fleet.is_answered

    def __init__(self):
        """Chooses a folder for settings, disks and logs."""
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="oakramp-crowds-"))
        self.net = "127.20"
        self.fleet = testbed.Fleet(str(self.work), "small")
        self.machine = next(one for one in self.fleet.machines if one.name == self.TARGET)
        self.target = Node(
            self.TARGET, "gateway", self.machine.host, {"http": 7480, "peer": 7400}, self.work / "gate0.json"
        )

    def bring_up(self):
        """Starts everything; the gateway is started anew for each test."""
        self.fleet.bring_up()
        self.restart()

    def restart(self):
        """Starts the gateway anew with its lowered limits."""
        processes = self.fleet._processes
        if self.TARGET in processes:
            self.fleet.kill(self.TARGET)
        if self.target.process is not None and self.target.is_running():
            self.target.process.kill()
            self.target.process.wait()
        env = env_of(self.machine, self.fleet.machines)
        env["resources"] = {"memory_mb": MEMORY_MB["gateway"], "descriptors": DESCRIPTORS}
        self.target.settings.write_text(json.dumps(env), encoding="utf-8")
        with open(self.work / "gate0.log", "ab") as log:
            self.target.process = subprocess.Popen(
                [testbed._program("oakramp-gateway"), "--env", str(self.target.settings)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=dict(os.environ),
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)),
            )
        self.fleet.wait_ready()

    def plain_call(self):
        """(status, body) of one ordinary plain call."""
        body = json.dumps({"body": {"hello": 1}}).encode()
        return self.ask(self.target, "http", "POST", "/v1/dalatech/plain/results-read", {}, body, TRY_TIME)

    def down(self):
        """Ends all processes that this fleet started."""
        if self.target.process is not None and self.target.is_running():
            self.target.process.kill()
            self.target.process.wait()
        self.fleet.down()
        shutil.rmtree(self.work, ignore_errors=True)
