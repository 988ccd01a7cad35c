"""Jobs are checked as a whole when they are handed in."""

from crankfold.maintenance.specification import validation_error
from tests.fixtures import TraceTestCase
from tests.maintenance.machines import MACHINES


class SpecificationTest(TraceTestCase):
    def test_jobs_that_can_not_be_carried_out_are_refused_with_path_found_and_allowed(self) -> None:
        fine: dict[str, object] = {"way": "hand", "stays": 0.5}
        for jobs in (
            {"w": fine},
            {"w": {**fine, "at-once": 0}},
            {"w": {**fine, "speed": 1}},
            {"w w": fine},
            {"w": {**fine, "way": "command"}},
            {"w": {**fine, "after": ["v"]}},
            {"w": {**fine, "after": ["v"]}, "v": {**fine, "after": ["w"]}},
            {"w": {**fine, "stays": 1.0}},
            {"w": {**fine, "machines": ["m99"]}},
        ):
            self.record(validation_error({"works": jobs}, {}, MACHINES) or "fits")
        # Handed in once, a job may be held though its machines are gone by now.
        gone = {"works": {"w": {**fine, "machines": ["m99"]}}}
        on_hold = {"works": {"w": {**fine, "machines": ["m99"], "state": "hold", "called": 1}}}
        self.record(validation_error(on_hold, gone, MACHINES) or "fits")
        self.assert_matches_trace("works-forms")
