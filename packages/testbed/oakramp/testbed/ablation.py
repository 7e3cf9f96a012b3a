"""Variants of a checkout in which one mechanism does nothing, to measure what it is worth.

`oakramp-testbed ablation NAME --into FOLDER` clones the checkout and takes the mechanism out of the clone; days are
played in it by the users' bench, beside the same days on the unchanged code. Unlike a mutation, a variant keeps all
rules that it can: it shows what a policy earns, not whether a test guards it.
"""

import os
import subprocess
from dataclasses import dataclass

from oakramp.common.errors import NotFoundError


@dataclass(frozen=True)
class Ablation:
    """One mechanism taken out: each place of `old` in the file (below packages/) becomes `new`."""

    name: str
    purpose: str
    file: str
    old: str
    new: str


BALANCER = "gateway/oakramp/gateway/balancer.py"
CONSTANTS = "common/oakramp/common/constants.py"

ABLATIONS = (
    Ablation("affinity", "a program keeps to its replica", BALANCER, "if not placement_request.affinity:", "if True:"),
    Ablation(
        "own zone first",
        "fewer bytes between zones",
        BALANCER,
        'instance.row.get("zone") == self._zone',
        "True",
    ),
    Ablation(
        "told loads fade",
        "a replica's word of its load counts less as it ages",
        "gateway/oakramp/gateway/replica_load.py",
        "max(0.0, 1.0 - (now - self.reported_at) / LOAD_AGE)",
        "1.0",
    ),
    Ablation("queued share", "no slot stands idle", CONSTANTS, "QUEUED_SHARE = 0.25", "QUEUED_SHARE = 0.0"),
    Ablation(
        "begun programs first",
        "a program that has begun is not refused in the middle",
        "gateway/oakramp/gateway/proxy_forwarder.py",
        "(begins_program, priority),",
        "(False, priority),",
    ),
    Ablation(
        "stalled retry",
        "a repeatable request leaves a mute replica",
        "gateway/oakramp/gateway/proxy_forwarder.py",
        (
            "        if not proxied_request.may_repeat "
            "or proxied_request.attempts + 1 >= proxied_request.route.max_attempts:"
        ),
        "        if True:",
    ),
    Ablation(
        "shared outlier reports",
        "gateways find a failing replica together",
        "gateway/oakramp/gateway/outliers.py",
        "self._node.gossip_client.publish_item(FAULTS, json.dumps(counts).encode() if counts else None)",
        "pass",
    ),
    Ablation(
        "outliers",
        "replicas that fail far more than others are left out",
        "gateway/oakramp/gateway/outliers.py",
        "return self._log_changes(service, frozenset(found[:max_outliers]), faults)",
        "return self._log_changes(service, frozenset(), faults)",
    ),
    Ablation(
        "ejection after failures",
        "a gateway leaves out a replica that fails again and again",
        BALANCER,
        "        instance.unavailable_until = now + pause\n",
        "",
    ),
    Ablation(
        "read hedge",
        "a slow store does not hold up a history",
        CONSTANTS,
        "READ_HISTORY_HEDGE = 0.04",
        "READ_HISTORY_HEDGE = 10.0",
    ),
    Ablation(
        "write hedge",
        "a slow store does not hold up a turn's end",
        CONSTANTS,
        "RETAIN_HEDGE = 0.12",
        "RETAIN_HEDGE = 10.0",
    ),
    Ablation(
        "hold while news are missing",
        "requests that come right after an outage wait for the news",
        CONSTANTS,
        "HOLD_SHARE = 0.4",
        "HOLD_SHARE = 0.0",
    ),
    Ablation(
        "fresh pulls",
        "news are pulled sooner while requests wait for them",
        "gateway/oakramp/gateway/fresh_state.py",
        "            self._pull()\n",
        "            pass\n",
    ),
    Ablation(
        "leases along with gossip",
        "no call of its own for each renewal",
        "control/oakramp/control/control_node.py",
        "        self.node.gossip_client.set_lease_piggyback(LeaseRenewalPiggyback(self.leaders, self.node))\n",
        "",
    ),
    Ablation(
        "deferred settlings",
        "one majority write a turn in place of two",
        "control/oakramp/control/token_budget.py",
        'deferrable=("settle",)',
        "deferrable=()",
    ),
    Ablation(
        "other peers by turns",
        "fewer pulls while nothing is new",
        "gossip/oakramp/gossip/gossip_client.py",
        "        if asks_all or self._state_table",
        "        if True or self._state_table",
    ),
)


def ablation_named(name):
    """The ablation of this name. Raises NotFoundError."""
    for one in ABLATIONS:
        if one.name == name:
            return one
    raise NotFoundError(f"no ablation {name!r}; there are: {', '.join(one.name for one in ABLATIONS)}")


def apply_to(ablation, root):
    """Takes the mechanism out of the checkout at `root`. Raises ValueError if the code has no such place any more."""
    path = os.path.join(root, "packages", ablation.file)
    with open(path, encoding="utf-8") as file:
        text = file.read()
    if ablation.old not in text:
        raise ValueError(f"{ablation.name}: {ablation.file} has no {ablation.old!r}")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text.replace(ablation.old, ablation.new))


def make_variant(ablation, root, folder):
    """Clones the checkout's last commit into `folder`, which must not exist, and takes the mechanism out there."""
    subprocess.run(["git", "clone", "--quiet", root, folder], check=True)
    apply_to(ablation, folder)
