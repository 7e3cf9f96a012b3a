"""Variants of a checkout with one mechanism disabled, to measure its benefit.

`oakramp-testbed ablation NAME --into FOLDER` clones the checkout and disables the mechanism in the clone. The users'
benchmark then runs its days there, and the same days on the unchanged code. Unlike a mutation, a variant keeps all
rules that it can: it shows the benefit of a policy, not whether a test guards it."""

import os
import subprocess
from dataclasses import dataclass

from oakramp.common.errors import NotFoundError


@dataclass(frozen=True)
class Ablation:
    """A disabled mechanism: each occurrence of `old` in the file (below packages/) becomes `new`."""

    name: str
    purpose: str
    file: str
    old: str
    new: str


BALANCER = "gateway/oakramp/gateway/balancer.py"
CONSTANTS = "common/oakramp/common/constants.py"

ABLATIONS = (
    Ablation("affinity", "a program stays on its replica", BALANCER, "if not placement_request.affinity:", "if True:"),
    Ablation(
        "own zone first",
        "less traffic between zones",
        BALANCER,
        'instance.row.get("zone") == self._zone',
        "True",
    ),
    Ablation(
        "told loads fade",
        "a load report of a replica counts less as it ages",
        "gateway/oakramp/gateway/replica_load.py",
        "max(0.0, 1.0 - (now - self.reported_at) / LOAD_AGE)",
        "1.0",
    ),
    Ablation("queued share", "no slot of a replica stays idle", CONSTANTS, "QUEUED_SHARE = 0.25", "QUEUED_SHARE = 0.0"),
    Ablation(
        "begun programs first",
        "a program that has begun is not rejected in the middle",
        "gateway/oakramp/gateway/proxy_forwarder.py",
        "(begins_program, priority),",
        "(False, priority),",
    ),
    Ablation(
        "stalled retry",
        "a repeatable request is retried elsewhere if its replica does not respond",
        "gateway/oakramp/gateway/proxy_forwarder.py",
        (
            "        if not proxied_request.may_repeat "
            "or proxied_request.attempts + 1 >= proxied_request.route.max_attempts:"
        ),
        "        if True:",
    ),
    Ablation(
        "shared outlier reports",
        "gateways share reports of failing replicas",
        "gateway/oakramp/gateway/outliers.py",
        "self._node.gossip_client.publish_item(FAULTS, json.dumps(counts).encode() if counts else None)",
        "pass",
    ),
    Ablation(
        "outliers",
        "replicas that fail far more often than others are ejected",
        "gateway/oakramp/gateway/outliers.py",
        "return self._log_changes(service, frozenset(found[:max_outliers]), faults)",
        "return self._log_changes(service, frozenset(), faults)",
    ),
    Ablation(
        "ejection after failures",
        "a gateway ejects a replica after repeated failures",
        BALANCER,
        "        instance.unavailable_until = now + pause\n",
        "",
    ),
    Ablation(
        "read hedge",
        "a slow store does not delay the read of a history",
        CONSTANTS,
        "READ_HISTORY_HEDGE = 0.04",
        "READ_HISTORY_HEDGE = 10.0",
    ),
    Ablation(
        "write hedge",
        "a slow store does not delay the end of a turn",
        CONSTANTS,
        "RETAIN_HEDGE = 0.12",
        "RETAIN_HEDGE = 10.0",
    ),
    Ablation(
        "hold while news are missing",
        "requests right after an outage wait for the replicated state",
        CONSTANTS,
        "HOLD_SHARE = 0.4",
        "HOLD_SHARE = 0.0",
    ),
    Ablation(
        "fresh pulls",
        "replicated state is pulled sooner while requests wait for it",
        "gateway/oakramp/gateway/fresh_state.py",
        "            self._pull()\n",
        "            pass\n",
    ),
    Ablation(
        "leases along with gossip",
        "lease renewals need no separate calls",
        "control/oakramp/control/control_node.py",
        "        self.node.gossip_client.set_lease_piggyback(LeaseRenewalPiggyback(self.leaders, self.node))\n",
        "",
    ),
    Ablation(
        "deferred settlings",
        "one majority write for each turn instead of two",
        "control/oakramp/control/token_budget.py",
        'deferrable=("settle",)',
        "deferrable=()",
    ),
    Ablation(
        "other peers by turns",
        "fewer pulls while the state does not change",
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
    """Disables the mechanism in the checkout at `root`. Raises ValueError if `old` no longer occurs in the code."""
    path = os.path.join(root, "packages", ablation.file)
    with open(path, encoding="utf-8") as file:
        text = file.read()
    if ablation.old not in text:
        raise ValueError(f"{ablation.name}: {ablation.file} has no {ablation.old!r}")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text.replace(ablation.old, ablation.new))


def make_variant(ablation, root, folder):
    """Clones the checkout's last commit into `folder`, which must not exist, and disables the mechanism there."""
    subprocess.run(["git", "clone", "--quiet", root, folder], check=True)
    apply_to(ablation, folder)
