"""A fleet of real processes on loopback addresses. Only the testbed starts processes; the daemons never do."""

import json
import os
import signal
import subprocess
import sys
import time

from oakramp.cli.control_client import ask
from oakramp.testbed.plan import PARTNERS, PLATFORM, SIZES, blueprint_of, env_of, machines_of

PROGRAMS = {"control": "oakramp-control", "store": "oakramp-store", "gate": "oakramp-gateway"}
START_TIME = 30.0  # s; enough for a dozen interpreters that start at once on a busy machine


def _program(name):
    return os.path.join(os.path.dirname(sys.executable), name)


class Fleet:
    """Invariant: `_processes` holds only processes that this fleet started and that have not ended, as far as it
    knows."""

    def __init__(self, folder, size_name):
        self.folder, self.size_name = folder, size_name
        self.machines = machines_of(SIZES[size_name])
        self._processes = {}
        os.makedirs(folder, exist_ok=True)

    def of_kind(self, kind):
        return [machine for machine in self.machines if machine.kind == kind]

    def _spawn(self, name, command):
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def start_standins(self):
        self._spawn("standins", [_program("oakramp-testbed"), "standins", "--size", self.size_name])

    def start(self, name):
        machine = next(one for one in self.machines if one.name == name)
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(env_of(machine, self.machines, os.path.join(self.folder, name)), file, indent=1)
        self._spawn(name, [_program(PROGRAMS[machine.kind]), "--env", path])

    def start_all(self):
        for machine in self.machines:
            self.start(machine.name)

    def signal(self, name, number):
        self._processes[name].send_signal(number)

    def process_id(self, name):
        return self._processes[name].pid

    def kill(self, name):
        self._processes[name].kill()
        self._processes.pop(name).wait()

    def stop(self, name, time_left=60):
        """Stops the process gracefully; returns its exit code."""
        self._processes[name].send_signal(signal.SIGTERM)
        return self._processes.pop(name).wait(time_left)

    def down(self):
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()

    # --- start ---

    def control(self, *words):
        """Runs oakrampctl as an operator would."""
        command = [_program("oakrampctl")]
        for machine in self.of_kind("control"):
            command += ["--control", machine.http]
        return subprocess.run([*command, *words], capture_output=True, text=True, check=False)

    def wait_for(self, what, check, time_left=START_TIME):
        ends_at = time.monotonic() + time_left
        while True:
            try:
                result = check()
                if result:
                    return result
            except OSError:
                pass
            if time.monotonic() > ends_at:
                raise TimeoutError(f"{what} did not happen within {time_left} s")
            time.sleep(0.1)

    def bring_up(self):
        self.start_standins()
        self.start_all()
        for machine in self.machines:
            self.wait_for(f"{machine.name} responding", lambda machine=machine: ask(machine.http, "GET", "/condition"))
        self.wait_for("the emulators responding", lambda: ask(PLATFORM, "GET", "/replicas"))
        stores = [word for machine in self.of_kind("store") for word in ("--store", machine.http)]
        done = self.control("init", "--cluster", "lab", *stores)
        if done.returncode:
            raise RuntimeError(done.stderr)
        for partner in PARTNERS:
            path = os.path.join(self.folder, f"plan-{partner}.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(blueprint_of(partner), file, indent=1)
            done = self.control("plan", "put", partner, path, "--based-on", "0")
            if done.returncode:
                raise RuntimeError(done.stderr)
        self.wait_ready()

    def wait_ready(self):
        for machine in self.machines:
            self.wait_for(
                f"{machine.name} becoming ready",
                lambda machine=machine: ask(machine.http, "GET", "/condition")[1].get("condition") == "ready",
            )
