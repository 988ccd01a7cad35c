"""Real processes with faults between them, and whether the checker of their records finds what is wrong."""

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


class PlayedTrialsTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_plans_under_trials_hold_every_promise(self) -> None:
        """Side by side; each starts its own processes on addresses of its own."""
        plans = sorted(TRIALS.glob("*.toml"))
        self.assertGreaterEqual(len(plans), 7)
        few = asyncio.Semaphore(4)

        async def play(plan: Path) -> str:
            async with few:
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

        broken = [output for output in await asyncio.gather(*map(play, plans)) if output]
        self.assertEqual(broken, [], "\n".join(broken))


def rules(at: int, newest: int, counts: int, effect: str, out: str = "") -> ConfigurationRecord:
    acting = {
        "settings": {"service-grades": [{"name": "g", "effect": effect}]},
        "runners-out": {"runners": {out: ""} if out else {}},
    }
    record = parse_record(
        {
            "at": at * MILLISECOND,
            "what": "rules",
            "unit": "",
            "where": "",
            "acting": acting,
            "versions": {"settings": [counts, newest], "runners-out": [counts, newest]},
        }
    )
    assert isinstance(record, ConfigurationRecord)
    return record


def act(at: int, newest: int, counts: int, request_id: str = "u") -> ActionRecord:
    record = parse_record(
        {
            "at": at * MILLISECOND,
            "what": "take",
            "unit": request_id,
            "where": "g",
            "versions": {"settings": [counts, newest], "runners-out": [counts, newest]},
        }
    )
    assert isinstance(record, ActionRecord)
    return record


def step(at: int, index: int, what: str) -> TransitionRecord:
    record = parse_record(
        {
            "at": at * MILLISECOND,
            "what": "step",
            "uid": "r2",
            "work": "w",
            "step": what,
            "index": index,
            "by": "n0",
            "why": "",
        }
    )
    assert isinstance(record, TransitionRecord)
    return record


def version(number: int, reason: str, out: str = "") -> DocumentVersion:
    return DocumentVersion.from_raw(
        {"number": number, "reason": reason, "text": {"runners": {out: ""} if out else {}}}
    )


def trial_record() -> TrialRecord:
    """Two processes; version 2 makes the class non-idempotent and takes r1 out, all as it should be."""
    records: dict[str, list[ProcessRecord]] = {
        "n0": [
            rules(0, 1, 1, "safe"),
            act(10, 1, 1, "n0-1"),
            rules(100, 2, 1, "unsafe", "r1"),
            act(200, 2, 1, "n0-2"),
            rules(400, 2, 2, "unsafe", "r1"),
            act(500, 2, 2, "n0-3"),
        ],
        "n1": [
            rules(1, 1, 1, "safe"),
            act(150, 1, 1, "n1-1"),
            rules(300, 2, 1, "unsafe", "r1"),
            rules(450, 2, 2, "unsafe", "r1"),
            act(600, 2, 2, "n1-2"),
        ],
    }
    seen = Observations()
    for n, request_id in enumerate(("n0-1", "n0-2", "n0-3", "n1-1", "n1-2")):
        seen.requests[request_id] = SubmittedRequest(n * MILLISECOND, request_id[:2], "g")
        seen.received_requests.append(ReceivedRequest((20 + 100 * n) * MILLISECOND, "r0", request_id))
        seen.answers.append(
            ClientAnswer((60 + 100 * n) * MILLISECOND, request_id, request_id[:2], "200 done")
        )
    docs = {
        "settings": {1: version(1, "begin"), 2: version(2, "call1")},
        "runners-out": {1: version(1, "begin"), 2: version(2, "call2", "r1")},
    }
    content = docs["settings"][2].content
    drained = docs["runners-out"][2].content
    confirmed, refused = PublishOutcome.CONFIRMED, PublishOutcome.REFUSED
    publishes = [
        PublishRecord("call1", 90 * MILLISECOND, "n0", "settings", content, confirmed, 2),
        PublishRecord("call2", 90 * MILLISECOND, "n0", "runners-out", drained, confirmed, 2),
        PublishRecord("call3", 95 * MILLISECOND, "n1", "settings", content, refused),
    ]
    for n, (what, at) in enumerate(
        (("out", 300), ("free", 700), ("work", 710), ("ended", 800), ("back", 820), ("well", 950)), 10
    ):
        for name in records:
            records[name].append(step(at + n, n, what))
    return TrialRecord(
        staleness_bound=2000 * MILLISECOND,
        process_records=records,
        observations=seen,
        publishes=publishes,
        histories={"n0": docs, "n1": copy.deepcopy(docs)},
        downtimes={},
        final_faults={"n0": "", "n1": ""},
        zones={"r0": "z0", "r1": "z1", "r2": "z0"},
        jobs={"w": JobLimits.from_specification({"at-once": 1, "a-zone": 1})},
        runs=[MaintenanceRun("r2", "w", 11, 725 * MILLISECOND, 790 * MILLISECOND)],
    )


def late_act(one: TrialRecord) -> None:
    one.process_records["n1"].insert(2, act(2200, 1, 1))


def unheard(one: TrialRecord) -> None:
    one.process_records["n1"].insert(2, act(420, 1, 1))


def other_history(one: TrialRecord) -> None:
    one.histories["n1"]["settings"][2].reason = "other"


def other_rules(one: TrialRecord) -> None:
    record = one.process_records["n1"][3]
    assert isinstance(record, ConfigurationRecord)
    record.configuration["settings"]["service-grades"][0]["effect"] = "safe"


def back(one: TrialRecord) -> None:
    one.process_records["n1"].append(act(700, 2, 1))


def lost_publish(one: TrialRecord) -> None:
    for docs in one.histories.values():
        del docs["settings"][2]


def refused_took(one: TrialRecord) -> None:
    for docs in one.histories.values():
        docs["settings"][2].reason = "call3"


def took_twice(one: TrialRecord) -> None:
    for docs in one.histories.values():
        docs["settings"][3] = version(3, "call1")


def two_answers(one: TrialRecord) -> None:
    one.observations.answers.append(ClientAnswer(700 * MILLISECOND, "n0-1", "n0", "200 again"))


def no_answer(one: TrialRecord) -> None:
    one.observations.answers[0] = ClientAnswer(7000 * MILLISECOND, "n0-1", "n0", "nothing")


def twice(one: TrialRecord) -> None:
    one.observations.received_requests.append(ReceivedRequest(700 * MILLISECOND, "r2", "n0-2"))


def reached(one: TrialRecord) -> None:
    one.observations.received_requests.append(ReceivedRequest(900 * MILLISECOND, "r1", "n1-2"))


def not_well(one: TrialRecord) -> None:
    one.final_faults["n1"] = "cut off"


def reached_in_work(one: TrialRecord) -> None:
    one.observations.received_requests.append(ReceivedRequest(750 * MILLISECOND, "r2", "n1-2"))


def two_out(one: TrialRecord) -> None:
    for records in one.process_records.values():
        last = records[-1]
        assert isinstance(last, TransitionRecord)
        records.append(replace(last, machine_id="r1", step="out", index=12, at=750 * MILLISECOND))


def out_beside_a_loss(one: TrialRecord) -> None:
    one.losses["r0"] = [Period(-3000 * MILLISECOND, 2000 * MILLISECOND)]


def ran_again(one: TrialRecord) -> None:
    one.runs.append(MaintenanceRun("r2", "w", 11, 800 * MILLISECOND))


def ran_early(one: TrialRecord) -> None:
    one.runs[0].began_at = 650 * MILLISECOND


def nobody_says_why(one: TrialRecord) -> None:
    one.unfinished_jobs["w"] = "['r0'] are left and nobody says why"


PLANTED: list[tuple[str, Callable[[TrialRecord], None]]] = [
    ("bound", late_act),
    ("heard-first", unheard),
    ("history", other_history),
    ("history", other_rules),
    ("no-way-back", back),
    ("publishes", lost_publish),
    ("publishes", refused_took),
    ("publishes", took_twice),
    ("one-answer", two_answers),
    ("one-answer", no_answer),
    ("no-effect-twice", twice),
    ("out-means-out", reached),
    ("well-at-the-end", not_well),
    ("free-means-free", reached_in_work),
    ("works-bounds", two_out),
    ("works-bounds", out_beside_a_loss),
    ("commands", ran_again),
    ("commands", ran_early),
    ("works-end", nobody_says_why),
]


class TrialCheckerTest(TraceTestCase):
    def test_records_without_a_fault_pass_and_each_planted_fault_fails_its_check(self) -> None:
        for promise in PROMISES:
            verdict = TrialChecker(trial_record()).judge(promise)
            self.assertTrue(verdict.satisfied, verdict)
        for promise, plant in PLANTED:
            one = trial_record()
            plant(one)
            verdict = TrialChecker(one).judge(promise)
            self.assertFalse(verdict.satisfied, plant.__name__)
            self.record(f"{plant.__name__}: {promise}: {verdict.detail}")
        self.assert_matches_trace("trial-planted")

    def test_an_invalid_plan_is_rejected_with_the_reason(self) -> None:
        good = (TRIALS / "leader-sleeps.toml").read_text()
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
                path.write_text(good.replace(old, new))
                with self.assertRaises(PlanError) as wrong:
                    load_plan(path)
                self.record(re.sub(r"^.*plan\.toml: ", "", str(wrong.exception)))
            with self.assertRaisesRegex(PlanError, "No such file"):
                load_plan(Path(folder) / "none.toml")
        self.assert_matches_trace("trial-unfit")
