"""Product code contains no names of the users' deployments, test days, injected faults or tools."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOYMENTS = ("dala", "dalatech", "almaty", "nlr", "nile", "laundry", "kelani", "bayline", "bia-hall")
DAYS = (r"(?:quiet|trouble|scale|fresh|hunt)-\w*\d",)
FAULTS = (
    "srv_grey srv_flap srv_lying_health herd_kill node_kill node_freeze node_slow after_ack_kill after_ack_wipe "
    "core_cut ack_lost answer_lost config_race config_change bad_config add_nodes replace_core roll_term disk_slow"
).split()
TOOLS = ("fleetbench",)
NAMES = re.compile(
    r"(?<![a-z0-9_])(?:" + "|".join((*DEPLOYMENTS, *DAYS, *FAULTS, *TOOLS)) + r")(?![a-z0-9_])", re.IGNORECASE
)


def product_files():
    for path in sorted([*ROOT.glob("packages/*/oakramp/**/*.py"), *ROOT.glob("platform/**/*.py")]):
        if path.relative_to(ROOT).parts[:2] != ("packages", "testbed"):
            yield path
    yield ROOT / "deploy" / "system.toml"


class NoUserSpecificNames(unittest.TestCase):
    def test_product_code_has_no_user_specific_names(self):
        found = [
            f"{path.relative_to(ROOT)}:{number}: {match.group()}"
            for path in product_files()
            for number, line in enumerate(path.read_text().splitlines(), 1)
            for match in NAMES.finditer(line)
        ]
        self.assertEqual(found, [])

    def test_the_pattern_matches_user_specific_names_only(self):
        for text in ("on scale-2", "the Kelani site", "after a node_kill", "fresh-7407", "Dalatech's"):
            self.assertRegex(text, NAMES)
        for text in ("a vanilla cache", "to scale 2", "nodes are killed", "finally"):
            self.assertNotRegex(text, NAMES)
