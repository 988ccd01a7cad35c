"""Trials of real processes under injected faults, and the checks of trial records and plans."""

import asyncio
import copy
import re
import sys
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from crankfold.fault_injection.invariants import TrialChecker
from crankfold.fault_injection.plan import PROMISES, PlanError, load_plan
from crankfold.fault_injection.records import (
    MILLISECOND,
    ActionRecord,
    ClientAnswer,
    ConfigurationRecord,
    DocumentVersion,
    JobLimits,
    MaintenanceRun,
    Observations,
    Period,
    ProcessRecord,
    PublishOutcome,
    PublishRecord,
    ReceivedRequest,
    SubmittedRequest,
    TransitionRecord,
    TrialRecord,
    parse_record,
)
from tests.fixtures import TraceTestCase

TRIALS = Path(__file__).parents[2] / "trials"


class TrialPlansTest(unittest.IsolatedAsyncioTestCase):
    async def test_plans_under_trials_hold_every_promise(self) -> None:
        """The plans run concurrently; each starts its own processes on its own loopback address."""
        plans = sorted(TRIALS.glob("*.toml"))
        self.assertGreaterEqual(len(plans), 7)
        concurrent_trials = asyncio.Semaphore(4)

        async def run_plan(plan: Path) -> str:
            async with concurrent_trials:
                running = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "crankfold",
                    "trial",
                    str(plan),
                    stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.STDOUT,
                    cwd=TRIALS.parent,
                )
                output, _ = await running.communicate()
                return "" if running.returncode == 0 else f"{plan.name}: {output.decode()}"

        failures = [output for output in await asyncio.gather(*map(run_plan, plans)) if output]
        self.assertEqual(failures, [], "\n".join(failures))


def configuration_record(
    at_ms: int, newest: int, active: int, idempotency: str, drained_backend: str = ""
) -> ConfigurationRecord:
    configuration = {
        "settings": {"service-grades": [{"name": "g", "effect": idempotency}]},
        "runners-out": {"runners": {drained_backend: ""} if drained_backend else {}},
    }
    record = parse_record(
        {
            "at": at_ms * MILLISECOND,
            "what": "rules",
            "unit": "",
            "where": "",
            "acting": configuration,
            "versions": {"settings": [active, newest], "runners-out": [active, newest]},
        }
    )
    assert isinstance(record, ConfigurationRecord)
    return record


def action_record(at_ms: int, newest: int, active: int, request_id: str = "u") -> ActionRecord:
    record = parse_record(
        {
            "at": at_ms * MILLISECOND,
            "what": "take",
            "unit": request_id,
            "where": "g",
            "versions": {"settings": [active, newest], "runners-out": [active, newest]},
        }
    )
    assert isinstance(record, ActionRecord)
    return record


def transition_record(at_ms: int, index: int, step: str) -> TransitionRecord:
    record = parse_record(
        {
            "at": at_ms * MILLISECOND,
            "what": "step",
            "uid": "r2",
            "work": "w",
            "step": step,
            "index": index,
            "by": "n0",
            "why": "",
        }
    )
    assert isinstance(record, TransitionRecord)
    return record


def document_version(number: int, reason: str, drained_backend: str = "") -> DocumentVersion:
    return DocumentVersion.from_raw(
        {
            "number": number,
            "reason": reason,
            "text": {"runners": {drained_backend: ""} if drained_backend else {}},
        }
    )


def trial_record() -> TrialRecord:
    """Returns the record of a trial of two processes without violations.

    Version 2 of the documents makes the request class non-idempotent and drains r1.
    """
    records: dict[str, list[ProcessRecord]] = {
        "n0": [
            configuration_record(0, 1, 1, "safe"),
            action_record(10, 1, 1, "n0-1"),
            configuration_record(100, 2, 1, "unsafe", "r1"),
            action_record(200, 2, 1, "n0-2"),
            configuration_record(400, 2, 2, "unsafe", "r1"),
            action_record(500, 2, 2, "n0-3"),
        ],
        "n1": [
            configuration_record(1, 1, 1, "safe"),
            action_record(150, 1, 1, "n1-1"),
            configuration_record(300, 2, 1, "unsafe", "r1"),
            configuration_record(450, 2, 2, "unsafe", "r1"),
            action_record(600, 2, 2, "n1-2"),
        ],
    }
    observations = Observations()
    for index, request_id in enumerate(("n0-1", "n0-2", "n0-3", "n1-1", "n1-2")):
        observations.requests[request_id] = SubmittedRequest(index * MILLISECOND, request_id[:2], "g")
        observations.received_requests.append(
            ReceivedRequest((20 + 100 * index) * MILLISECOND, "r0", request_id)
        )
        observations.answers.append(
            ClientAnswer((60 + 100 * index) * MILLISECOND, request_id, request_id[:2], "200 done")
        )
    documents = {
        "settings": {1: document_version(1, "begin"), 2: document_version(2, "call1")},
        "runners-out": {1: document_version(1, "begin"), 2: document_version(2, "call2", "r1")},
    }
    content = documents["settings"][2].content
    drained = documents["runners-out"][2].content
    confirmed, refused = PublishOutcome.CONFIRMED, PublishOutcome.REFUSED
    publishes = [
        PublishRecord("call1", 90 * MILLISECOND, "n0", "settings", content, confirmed, 2),
        PublishRecord("call2", 90 * MILLISECOND, "n0", "runners-out", drained, confirmed, 2),
        PublishRecord("call3", 95 * MILLISECOND, "n1", "settings", content, refused),
    ]
    for index, (step, at_ms) in enumerate(
        (("out", 300), ("free", 700), ("work", 710), ("ended", 800), ("back", 820), ("well", 950)), 10
    ):
        for name in records:
            records[name].append(transition_record(at_ms + index, index, step))
    return TrialRecord(
        staleness_bound=2000 * MILLISECOND,
        process_records=records,
        observations=observations,
        publishes=publishes,
        histories={"n0": documents, "n1": copy.deepcopy(documents)},
        downtimes={},
        final_faults={"n0": "", "n1": ""},
        zones={"r0": "z0", "r1": "z1", "r2": "z0"},
        jobs={"w": JobLimits.from_specification({"at-once": 1, "a-zone": 1})},
        runs=[MaintenanceRun("r2", "w", 11, 725 * MILLISECOND, 790 * MILLISECOND)],
    )


def act_past_staleness_bound(trial: TrialRecord) -> None:
    trial.process_records["n1"].insert(2, action_record(2200, 1, 1))


def act_without_knowing_version(trial: TrialRecord) -> None:
    trial.process_records["n1"].insert(2, action_record(420, 1, 1))


def change_history_of_one_process(trial: TrialRecord) -> None:
    trial.histories["n1"]["settings"][2].reason = "other"


def change_configuration_of_one_process(trial: TrialRecord) -> None:
    record = trial.process_records["n1"][3]
    assert isinstance(record, ConfigurationRecord)
    record.configuration["settings"]["service-grades"][0]["effect"] = "safe"


def act_on_older_version(trial: TrialRecord) -> None:
    trial.process_records["n1"].append(action_record(700, 2, 1))


def lose_confirmed_publish(trial: TrialRecord) -> None:
    for documents in trial.histories.values():
        del documents["settings"][2]


def apply_refused_publish(trial: TrialRecord) -> None:
    for documents in trial.histories.values():
        documents["settings"][2].reason = "call3"


def apply_publish_twice(trial: TrialRecord) -> None:
    for documents in trial.histories.values():
        documents["settings"][3] = document_version(3, "call1")


def answer_request_twice(trial: TrialRecord) -> None:
    trial.observations.answers.append(ClientAnswer(700 * MILLISECOND, "n0-1", "n0", "200 again"))


def leave_request_unanswered(trial: TrialRecord) -> None:
    trial.observations.answers[0] = ClientAnswer(7000 * MILLISECOND, "n0-1", "n0", "nothing")


def execute_non_idempotent_request_twice(trial: TrialRecord) -> None:
    trial.observations.received_requests.append(ReceivedRequest(700 * MILLISECOND, "r2", "n0-2"))


def send_request_to_drained_backend(trial: TrialRecord) -> None:
    trial.observations.received_requests.append(ReceivedRequest(900 * MILLISECOND, "r1", "n1-2"))


def end_with_isolated_process(trial: TrialRecord) -> None:
    trial.final_faults["n1"] = "cut off"


def send_request_to_freed_machine(trial: TrialRecord) -> None:
    trial.observations.received_requests.append(ReceivedRequest(750 * MILLISECOND, "r2", "n1-2"))


def take_out_two_machines(trial: TrialRecord) -> None:
    for records in trial.process_records.values():
        last = records[-1]
        assert isinstance(last, TransitionRecord)
        records.append(replace(last, machine_id="r1", step="out", index=12, at=750 * MILLISECOND))


def take_out_machine_beside_lost_one(trial: TrialRecord) -> None:
    trial.losses["r0"] = [Period(-3000 * MILLISECOND, 2000 * MILLISECOND)]


def run_command_twice(trial: TrialRecord) -> None:
    trial.runs.append(MaintenanceRun("r2", "w", 11, 800 * MILLISECOND))


def run_command_before_machine_is_free(trial: TrialRecord) -> None:
    trial.runs[0].began_at = 650 * MILLISECOND


def leave_machine_without_reason(trial: TrialRecord) -> None:
    trial.unfinished_jobs["w"] = "['r0'] are left and nobody says why"


# Promise, name in the recorded trace, and the function that plants a violation of the promise.
PLANTED_VIOLATIONS: list[tuple[str, str, Callable[[TrialRecord], None]]] = [
    ("bound", "late_act", act_past_staleness_bound),
    ("heard-first", "unheard", act_without_knowing_version),
    ("history", "other_history", change_history_of_one_process),
    ("history", "other_rules", change_configuration_of_one_process),
    ("no-way-back", "back", act_on_older_version),
    ("publishes", "lost_publish", lose_confirmed_publish),
    ("publishes", "refused_took", apply_refused_publish),
    ("publishes", "took_twice", apply_publish_twice),
    ("one-answer", "two_answers", answer_request_twice),
    ("one-answer", "no_answer", leave_request_unanswered),
    ("no-effect-twice", "twice", execute_non_idempotent_request_twice),
    ("out-means-out", "reached", send_request_to_drained_backend),
    ("well-at-the-end", "not_well", end_with_isolated_process),
    ("free-means-free", "reached_in_work", send_request_to_freed_machine),
    ("works-bounds", "two_out", take_out_two_machines),
    ("works-bounds", "out_beside_a_loss", take_out_machine_beside_lost_one),
    ("commands", "ran_again", run_command_twice),
    ("commands", "ran_early", run_command_before_machine_is_free),
    ("works-end", "nobody_says_why", leave_machine_without_reason),
]


class TrialCheckerTest(TraceTestCase):
    def test_valid_record_passes_and_each_planted_violation_fails_its_check(self) -> None:
        for promise in PROMISES:
            verdict = TrialChecker(trial_record()).judge(promise)
            self.assertTrue(verdict.satisfied, verdict)
        for promise, trace_name, plant in PLANTED_VIOLATIONS:
            trial = trial_record()
            plant(trial)
            verdict = TrialChecker(trial).judge(promise)
            self.assertFalse(verdict.satisfied, trace_name)
            self.record(f"{trace_name}: {promise}: {verdict.detail}")
        self.assert_matches_trace("trial-planted")

    def test_invalid_plan_is_rejected_with_reason(self) -> None:
        valid_plan = (TRIALS / "leader-sleeps.toml").read_text()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "plan.toml"
            for old, new in (
                ('name = "leader-sleeps"', ""),
                ("seconds = 12.0", "seconds = -1"),
                ('"bound"', '"bounds"'),
                ('at = "leader"', 'at = "n9"'),
                ("end = 6.0", "end = 60.0"),
                ('kind = "pause"', 'kind = "burn"'),
                ('at = "leader"\n', ""),
                ("end = 6.0", "ends = 6.0"),
                ("seconds", "="),
            ):
                path.write_text(valid_plan.replace(old, new))
                with self.assertRaises(PlanError) as raised:
                    load_plan(path)
                self.record(re.sub(r"^.*plan\.toml: ", "", str(raised.exception)))
            with self.assertRaisesRegex(PlanError, "No such file"):
                load_plan(Path(folder) / "none.toml")
        self.assert_matches_trace("trial-unfit")
