"""Validation of a submitted jobs document."""

from crankfold.maintenance.specification import validation_error
from tests.fixtures import TraceTestCase
from tests.maintenance.machines import MACHINES


class SpecificationTest(TraceTestCase):
    def test_invalid_jobs_are_rejected_with_path_value_and_allowed_values(self) -> None:
        valid_job: dict[str, object] = {"way": "hand", "stays": 0.5}
        for jobs in (
            {"w": valid_job},
            {"w": {**valid_job, "at-once": 0}},
            {"w": {**valid_job, "speed": 1}},
            {"w w": valid_job},
            {"w": {**valid_job, "way": "command"}},
            {"w": {**valid_job, "after": ["v"]}},
            {"w": {**valid_job, "after": ["v"]}, "v": {**valid_job, "after": ["w"]}},
            {"w": {**valid_job, "stays": 1.0}},
            {"w": {**valid_job, "machines": ["m99"]}},
        ):
            self.record(validation_error({"works": jobs}, {}, MACHINES) or "fits")
        # A job that was submitted before can be put on hold although its machines are no longer listed.
        previous = {"works": {"w": {**valid_job, "machines": ["m99"]}}}
        job_on_hold = {"works": {"w": {**valid_job, "machines": ["m99"], "state": "hold", "called": 1}}}
        self.record(validation_error(job_on_hold, previous, MACHINES) or "fits")
        self.assert_matches_trace("works-forms")
