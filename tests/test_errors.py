"""Codes, HTTP statuses and verdicts of errors: they must stay for peers and clients when a class is renamed."""

import unittest

from oakramp.common import errors
from oakramp.common.errors import ERROR_CLASSES, Verdict

# Code: (class, HTTP status, verdict unless one is given).
ON_THE_WIRE = {
    "internal": ("OakrampError", 500, "maybe"),
    "refused": ("RequestRejectedError", 400, "no"),
    "badRequest": ("BadRequestError", 400, "no"),
    "tooLarge": ("TooLargeError", 413, "no"),
    "unknown": ("NotFoundError", 404, "no"),
    "unauthenticated": ("UnauthenticatedError", 401, "no"),
    "noMethod": ("MethodNotFoundError", 501, "no"),
    "gone": ("TurnExpiredError", 410, "no"),
    "ended": ("ProgramEndedError", 410, "no"),
    "conflict": ("ConflictError", 409, "no"),
    "inProgress": ("InProgressError", 409, "maybe"),
    "outcomeLost": ("OutcomeLostError", 502, "maybe"),
    "lost": ("VersionConflictError", 409, "no"),
    "invalid": ("ValidationFailedError", 422, "no"),
    "rebound": ("PlanChangedError", 503, "no"),
    "budgetEmpty": ("BudgetExhaustedError", 402, "no"),
    "overloaded": ("OverloadedError", 503, "no"),
    "cannotTell": ("QuorumUnavailableError", 503, "no"),
    "timeSpent": ("DeadlineExceededError", 504, "no"),
    "unreachable": ("UnreachableError", 502, "no"),
    "platformAway": ("PlatformUnavailableError", 502, "no"),
    "notOwner": ("NotShardLeaderError", 503, "no"),
    "fenced": ("StaleEpochError", 409, "no"),
    "noAnswer": ("OutcomeUnknownError", 502, "maybe"),
    "broken": ("IncompleteResponseError", 502, "yes"),
    "overLimit": ("ResponseLimitError", 502, "maybe"),
    "env": ("SettingsError", 500, "no"),
    "ring": ("StorageError", 500, "maybe"),
    "ringFull": ("StorageFullError", 507, "no"),
    "ringDamaged": ("StorageCorruptedError", 500, "maybe"),
}


class OnTheWire(unittest.TestCase):
    def test_codes_statuses_and_verdicts(self):
        found = {
            code: (error_class.__name__, error_class.status, error_class.verdict.value)
            for code, error_class in ERROR_CLASSES.items()
        }
        self.assertEqual(found, ON_THE_WIRE)

    def test_every_error_class_of_the_module_has_a_code(self):
        defined = {
            value
            for value in vars(errors).values()
            if isinstance(value, type) and issubclass(value, errors.OakrampError)
        }
        self.assertEqual(defined, set(ERROR_CLASSES.values()))

    def test_class_names_end_with_error(self):
        self.assertEqual([name for name, *_ in ON_THE_WIRE.values() if not name.endswith("Error")], [])

    def test_verdicts_are_spelled_as_in_json(self):
        self.assertEqual([verdict.value for verdict in Verdict], ["no", "maybe", "yes"])


if __name__ == "__main__":
    unittest.main()
