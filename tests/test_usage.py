"""Guards against usage windows whose reported counts change, or miss counts that arrived before the close."""

import unittest
from collections import Counter

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test
from sortedcontainers import SortedDict

from oakramp.common.constants import USAGE_CLOCKS_SETTLE, USAGE_WINDOWS_KEPT
from oakramp.common.errors import BadRequestError
from oakramp.control import usage
from oakramp.control.command_context import CommandContext
from oakramp.control.controllers import CONTROLLERS
from oakramp.control.transaction import Transaction

KEY = usage.USAGE_KEY
NO_TIME = {"time": None, "settled": False}  # the answer about time of a node that has just become leader


class UsageCommands:
    """The rows of the key; commands run in batches as on a leader."""

    def __init__(self):
        self.entries = SortedDict()
        self.context = CommandContext(0.0, None, {}, None, None)

    def run(self, *commands):
        """Runs these (command, arguments) pairs as one batch and returns their results."""
        transaction, results = Transaction(self.entries, self.context), []
        for command, arguments in commands:
            inner = transaction.nested()
            results.append(CONTROLLERS.find(KEY).run(inner, KEY, command, arguments))
            transaction.merge(inner)
        for key, value in transaction.changes().items():
            self.entries.pop(key, None)
            if value is not None:
                self.entries[key] = value
        return results

    def run_one(self, command, **arguments):
        return self.run((command, arguments))[0]

    def count(self, gateway, number, windows):
        return self.run_one("count", gateway=gateway, number=number, windows=windows)


class Windows(unittest.TestCase):
    def setUp(self):
        self.rows = UsageCommands()

    def count_rows(self):
        return [key for key in self.rows.entries if key.startswith(usage.COUNT_ROWS)]

    def test_out_of_order_message_is_ignored(self):
        self.rows.run_one("close", through=6, current=7)
        self.rows.count("g1", 2, {"7": {"t": 5}})
        self.rows.count("g1", 1, {"7": {"t": 3}})
        self.rows.run_one("close", through=7, current=8)
        self.assertEqual(self.rows.run_one("owed")["counts"], {"t": 5})

    def test_first_window_is_the_current_one(self):
        self.assertEqual(self.rows.count("g1", 1, {"7": {"t": 1}}), {"next": 0} | NO_TIME)
        self.assertEqual(self.rows.run_one("close", through=5, current=7), {"closed": 0, "next": 7})
        self.assertEqual(self.rows.count("g1", 2, {"6": {"t": 9}, "7": {"t": 1}}), {"next": 7} | NO_TIME)
        self.assertEqual(self.count_rows(), [usage.count_row(7, "g1")])
        self.assertEqual(self.rows.run_one("close", through=7, current=9), {"closed": 1, "next": 8})
        self.assertEqual(self.rows.run_one("owed"), {"window": 7, "counts": {"t": 1}})

    def test_count_before_the_close_in_one_batch_is_in_the_total(self):
        self.rows.run_one("close", through=6, current=7)
        self.rows.run(
            ("count", {"gateway": "g1", "number": 1, "windows": {"7": {"t": 2}}}),
            ("close", {"through": 7, "current": 8}),
            ("count", {"gateway": "g2", "number": 1, "windows": {"7": {"t": 5}}}),
        )
        self.assertEqual(self.rows.run_one("owed"), {"window": 7, "counts": {"t": 2}})
        self.assertEqual(self.count_rows(), [])

    def test_window_without_counts_is_owed(self):
        self.rows.run_one("close", through=6, current=7)
        self.rows.run_one("close", through=9, current=10)
        for window in (7, 8, 9):
            self.assertEqual(self.rows.run_one("owed"), {"window": window, "counts": {}})
            self.rows.run_one("delivered", window=window)
        self.assertEqual(self.rows.run_one("owed"), {"window": None, "counts": None})
        self.assertEqual(self.rows.run_one("read")["sent"], 9)

    def test_windows_are_sorted_by_number(self):
        self.rows.run_one("close", through=8, current=9)
        self.rows.run_one("close", through=10, current=11)
        self.assertEqual(self.rows.run_one("read")["owed"], [9, 10])

    def test_number_of_missed_windows_is_bounded(self):
        self.rows.run_one("close", through=6, current=7)
        self.rows.count("g1", 1, {"7": {"t": 1}})
        self.assertEqual(self.rows.run_one("close", through=5000, current=5001)["closed"], USAGE_WINDOWS_KEPT)
        self.assertEqual(self.rows.run_one("owed")["window"], 5000 - USAGE_WINDOWS_KEPT + 1)
        self.assertEqual(self.count_rows(), [])

    def test_close_of_a_closed_window_changes_nothing(self):
        self.rows.run_one("close", through=6, current=7)
        self.rows.run_one("close", through=8, current=9)
        before = dict(self.rows.entries)
        for through in (8, 7, 3):
            self.assertEqual(self.rows.run_one("close", through=through, current=9), {"closed": 0, "next": 9})
        self.assertEqual(dict(self.rows.entries), before)

    def test_median_of_three_clocks_is_returned_once_the_leader_is_settled(self):
        def report_clocks(now, *clocks):
            self.rows.context.now = now
            for number, clock in enumerate(clocks):
                answer = self.rows.run_one("count", gateway=f"g{number}", number=1, windows={}, time=clock)
            return answer["settled"], answer["time"]

        self.assertEqual(report_clocks(0.0, 100.0, 106.0, 99.0), (False, None))
        self.assertEqual(report_clocks(USAGE_CLOCKS_SETTLE, 102.0, 108.0, 101.0), (True, 102.0))
        self.assertEqual(report_clocks(60.0, 160.0, 160.0), (True, None))

    def test_malformed_message_is_rejected(self):
        self.rows.run_one("close", through=6, current=7)
        for windows in ({"x": {}}, {"-7": {}}, {"7": [1]}, {"7": {"t": -1}}, {"7": {"t": 1.5}}, {"7": {"t": True}}):
            with self.assertRaises(BadRequestError):
                self.rows.count("g1", 1, windows)
        for time in (-1.0, float("nan"), float("inf"), "1", None, True):
            with self.assertRaises(BadRequestError):
                self.rows.run_one("count", gateway="g1", number=1, windows={}, time=time)


class WindowsStateMachine(RuleBasedStateMachine):
    """Gateways that count, messages that arrive in any order and twice, and leaders that close and deliver windows."""

    def __init__(self):
        super().__init__()
        self.rows = UsageCommands()
        self.rows.run_one("close", through=9, current=10)
        self.counted = {}  # (gateway, window) -> counts so far
        self.numbers = Counter()
        self.sent = []
        self.counted_in_time = {}  # (gateway, window) -> (number, counts) of the newest message before the close
        self.totals = {}  # window -> its counts at the close
        self.next = 10

    @rule(gateway=st.sampled_from("ab"), ahead=st.integers(0, 2), tenant=st.sampled_from("xy"))
    def begin_request(self, gateway, ahead, tenant):
        self.counted.setdefault((gateway, self.next + ahead), Counter())[tenant] += 1

    @rule(gateway=st.sampled_from("ab"))
    def send(self, gateway):
        self.numbers[gateway] += 1
        windows = {window: dict(counts) for (who, window), counts in self.counted.items() if who == gateway}
        self.sent.append((gateway, self.numbers[gateway], windows))

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def arrive(self, data):
        self._arrive([data.draw(st.sampled_from(self.sent))], None)

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), ahead=st.integers(-1, 2))
    def arrive_with_a_close(self, data, ahead):
        self._arrive([data.draw(st.sampled_from(self.sent))], self.next + ahead)

    @rule(ahead=st.integers(-1, 2))
    def close(self, ahead):
        self._arrive([], self.next + ahead)

    def _arrive(self, messages, through):
        commands = [
            ("count", {"gateway": gateway, "number": number, "windows": {str(w): c for w, c in windows.items()}})
            for gateway, number, windows in messages
        ]
        for gateway, number, windows in messages:
            for window, counts in windows.items():
                if window >= self.next and number > self.counted_in_time.get((gateway, window), (0, None))[0]:
                    self.counted_in_time[gateway, window] = number, counts
        if through is not None:
            commands.append(("close", {"through": through, "current": through + 1}))
            for window in range(self.next, through + 1):
                rows = [Counter(counts) for (_, other), (_, counts) in self.counted_in_time.items() if other == window]
                self.totals[window] = dict(sum(rows, Counter()))
            self.next = max(self.next, through + 1)
        self.rows.run(*commands)

    @rule()
    def deliver(self):
        owed = self.rows.run_one("owed")
        if owed["window"] is not None:
            assert owed["window"] == min(self.totals), (owed, self.totals)
            assert owed["counts"] == self.totals.pop(owed["window"]), owed
            self.rows.run_one("delivered", window=owed["window"])

    @invariant()
    def totals_of_closed_windows_never_change(self):
        transaction = Transaction(self.rows.entries, self.rows.context)
        kept = {usage.window_of_row(row): transaction.get(row)["counts"] for row in transaction.keys(usage.WINDOW_ROWS)}
        assert kept == self.totals, (kept, self.totals)
        assert self.rows.run_one("read")["next"] == self.next


class WindowsProperties(unittest.TestCase):
    def test_each_count_is_in_one_total_or_arrived_too_late(self):
        run_state_machine_as_test(
            WindowsStateMachine, settings=settings(max_examples=60, stateful_step_count=30, deadline=None)
        )


if __name__ == "__main__":
    unittest.main()
