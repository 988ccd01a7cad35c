"""Checks the guarantees of a plan against the records of the processes and of the stand-ins.

Shares no code with the program under test: the relations between documents are derived independently, from
their content. A check returns a description of the first violation, or an empty string.
"""

import json
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from crankfold.fault_injection.maintenance_invariants import MaintenanceChecker
from crankfold.fault_injection.records import (
    DOCUMENTS,
    DRAINED_BACKENDS,
    FOREVER,
    MILLISECOND,
    SETTINGS,
    ActionRecord,
    ClientAnswer,
    ConfigurationRecord,
    DocumentVersion,
    JsonObject,
    Promise,
    PublishOutcome,
    PublishRecord,
    SubmittedRequest,
    TrialRecord,
    Verdict,
    VersionState,
)

# Nanoseconds after the drain of a backend in which requests that were sent before may still arrive.
PROPAGATION_GRACE = 300 * MILLISECOND
ANSWERED_STATUSES = ("200", "503", "504")  # completed, shed, failed
BAD_REQUEST = "400"
MAX_EXECUTIONS = 1  # of a non-idempotent request
NO_STATE = VersionState(newest=0, active=0)


class FirstUse(NamedTuple):
    """The first activation of a version: its time (nanoseconds) and its process."""

    at: int
    process: str


class Action(NamedTuple):
    """An action on a request and its process."""

    process: str
    record: ActionRecord


class DrainedPeriod(NamedTuple):
    """A period in which operators had drained a backend, in nanoseconds."""

    begin: int
    end: int
    backend_id: str


class TrialChecker:
    """Checks the guarantees against the records of a finished trial."""

    def __init__(self, trial: TrialRecord) -> None:
        self.trial = trial
        # By document and state: the content in force, and the first activation.
        self.contents: dict[tuple[str, VersionState], str] = {}
        self.first_used: dict[str, dict[VersionState, FirstUse]] = {document: {} for document in DOCUMENTS}
        self.actions: list[Action] = []
        self.inconsistencies: list[str] = []
        for process, records in trial.process_records.items():
            for record in records:
                if isinstance(record, ConfigurationRecord):
                    self._add_configuration(process, record)
                elif isinstance(record, ActionRecord):
                    self.actions.append(Action(process, record))
        self.actions.sort(key=lambda action: action.record.at)
        self.maintenance = MaintenanceChecker(trial)
        self.longest_contradiction = 0  # nanoseconds
        self.longest_detail = "no two differed"

    def _add_configuration(self, process: str, record: ConfigurationRecord) -> None:
        for document in DOCUMENTS:
            state = record.versions.get(document, NO_STATE)
            content = json.dumps(record.configuration.get(document), sort_keys=True)
            if self.contents.setdefault((document, state), content) != content:
                self.inconsistencies.append(f"{process} makes something else of {document} {state}")
            earliest = self.first_used[document].get(state)
            if earliest is None or record.at < earliest.at:
                self.first_used[document][state] = FirstUse(record.at, process)

    def judge(self, promise: str) -> Verdict:
        """Checks one guarantee.

        Raises:
            ValueError: `promise` names no guarantee.
        """
        checked = Promise(promise)
        violation = self._checks()[checked]()
        return Verdict(checked, not violation, violation or self._summary(checked))

    def _checks(self) -> dict[Promise, Callable[[], str]]:
        return {
            Promise.STALENESS_BOUND: self.check_staleness_bound,
            Promise.KNOWN_BEFORE_EFFECT: self.check_known_before_effect,
            Promise.HISTORY: self.check_history,
            Promise.MONOTONIC_VERSIONS: self.check_monotonic_versions,
            Promise.PUBLISHES: self.check_publishes,
            Promise.SINGLE_ANSWER: self.check_single_answer,
            Promise.NO_DUPLICATE_EFFECT: self.check_no_duplicate_effect,
            Promise.DRAINED_BACKENDS: self.check_drained_backends,
            Promise.FINAL_HEALTH: self.check_final_health,
            **self.maintenance.checks(),
        }

    def _summary(self, promise: Promise) -> str:
        if promise is Promise.STALENESS_BOUND:
            longest = self.longest_contradiction / MILLISECOND
            bound = self.trial.staleness_bound / MILLISECOND
            return f"longest {longest:.0f} ms of {bound:.0f}; {self.longest_detail}"
        if promise is Promise.PUBLISHES:
            outcomes = Counter(publish.outcome for publish in self.trial.publishes)
            return ", ".join(f"{outcomes[outcome]} {outcome}" for outcome in PublishOutcome)
        if promise is Promise.SINGLE_ANSWER:
            kinds = Counter(answer.text.split()[0] for answer in self.trial.observations.answers)
            return ", ".join(f"{kinds[kind]} {kind}" for kind in sorted(kinds))
        return self.maintenance.summary(promise)

    # --- documents ---

    def check_staleness_bound(self) -> str:
        """No process acts on a version for longer than the bound after a differing later one is active."""
        if self.inconsistencies:
            return self.inconsistencies[0]
        for document in DOCUMENTS:
            states = sorted(self.first_used[document])  # in the order of the history
            for action in self.actions:
                own = action.record.versions.get(document, NO_STATE)
                content = self.contents.get((document, own))
                for state in states[bisect_right(states, own) :]:
                    if self.contents[document, state] != content:
                        self._note_contradiction(action, document, own, state)
        if self.longest_contradiction <= self.trial.staleness_bound:
            return ""
        return f"{self.longest_contradiction / MILLISECOND:.0f} ms: {self.longest_detail}"

    def _note_contradiction(
        self, action: Action, document: str, own: VersionState, later: VersionState
    ) -> None:
        first_use = self.first_used[document][later]
        duration = action.record.at - first_use.at
        if duration > self.longest_contradiction:
            self.longest_contradiction = duration
            self.longest_detail = (
                f"{action.process} at {self.trial.format_time(action.record.at)} on {document} {own}, "
                f"{first_use.process} on {later}"
            )

    def check_known_before_effect(self) -> str:
        """No process acts without knowing a version that is already active at another process."""
        for document in DOCUMENTS:
            activations: dict[int, FirstUse] = {}  # by version
            for state, first_use in self.first_used[document].items():
                earliest = activations.get(state.active)
                if state.active and (earliest is None or first_use.at < earliest.at):
                    activations[state.active] = first_use
            for process, record in self.actions:
                newest = record.versions.get(document, NO_STATE).newest
                for version, first_use in activations.items():
                    if newest and version > newest and record.at > first_use.at:
                        return (
                            f"{process} acts at {self.trial.format_time(record.at)} "
                            f"without having heard of {document} {version}, "
                            f"which counts at {first_use.process} "
                            f"since {self.trial.format_time(first_use.at)}"
                        )
        return ""

    def check_history(self) -> str:
        """Versions with the same number are identical at all processes."""
        if self.inconsistencies:
            return self.inconsistencies[0]
        known: dict[tuple[str, int], tuple[str, str]] = {}
        for process, documents in self.trial.histories.items():
            for document, versions in documents.items():
                for number, version in versions.items():
                    canonical = version.canonical()
                    other, other_canonical = known.setdefault((document, number), (process, canonical))
                    if other_canonical != canonical:
                        return f"{process} and {other} have different versions {number} of {document}"
        return ""

    def check_monotonic_versions(self) -> str:
        """No process acts on an older version than it acted on before."""
        for process, records in self.trial.process_records.items():
            highest: dict[str, int] = {}
            for record in records:
                if not isinstance(record, ActionRecord):
                    continue  # a starting process activates old versions before it may act
                for document in DOCUMENTS:
                    active = record.versions.get(document, NO_STATE).active
                    if active < highest.get(document, 0):
                        acted_at = self.trial.format_time(record.at)
                        return (
                            f"{process} acts at {acted_at} on {document} {active} after {highest[document]}"
                        )
                    highest[document] = active
        return ""

    def check_publishes(self) -> str:
        """A confirmed publish is in every history, a refused one in none, and no publish is in one twice."""
        for publish in self.trial.publishes:
            for process, documents in self.trial.histories.items():
                violation = self._publish_violation(publish, process, documents.get(publish.document, {}))
                if violation:
                    return violation
        return self._lost_publish()

    def _lost_publish(self) -> str:
        for publish in self.trial.publishes:
            newest = max(
                (max(documents.get(publish.document) or [0]) for documents in self.trial.histories.values()),
                default=0,
            )
            if publish.outcome is PublishOutcome.CONFIRMED and publish.version > newest:
                return (
                    f"{publish.call_id}, confirmed as {publish.document} {publish.version}, is after {newest}"
                )
        return ""

    @staticmethod
    def _publish_violation(publish: PublishRecord, process: str, versions: dict[int, DocumentVersion]) -> str:
        call = publish.call_id
        found = [number for number, version in versions.items() if version.reason == call]
        if len(found) > 1:
            return f"{call} took effect as {found} at {process}"
        if publish.outcome is PublishOutcome.REFUSED and found:
            return f"{call} was refused and is version {found[0]} at {process}"
        is_retained = bool(versions) and min(versions) <= publish.version <= max(versions)
        if publish.outcome is PublishOutcome.CONFIRMED and found != [publish.version] and is_retained:
            return f"{call}, confirmed as {publish.document} {publish.version}, is {found} at {process}"
        if found and versions[found[0]].content != publish.content:
            return f"{call} was changed at {process}"
        return ""

    # --- requests ---

    def check_single_answer(self) -> str:
        """Every client gets exactly one answer, unless its dispatcher was down."""
        observations = self.trial.observations
        answers: dict[str, list[str]] = defaultdict(list)
        for answer in observations.answers:
            answers[answer.request_id].append(answer.text)
            if not self._is_answered(answer, observations.requests[answer.request_id]):
                moment = self.trial.format_time(answer.at)
                return (
                    f"{answer.request_id} got {answer.text} at {moment}, though {answer.dispatcher} was there"
                )
        for request_id in observations.requests:
            if len(answers[request_id]) != 1:
                return f"{request_id} got {answers[request_id] or 'nothing'}"
        return ""

    def _is_answered(self, answer: ClientAnswer, request: SubmittedRequest) -> bool:
        """Whether the dispatcher answered the request, or had a valid reason not to."""
        if answer.status in ANSWERED_STATUSES:
            return True
        if answer.status == BAD_REQUEST and self._class_was_removed(request.request_class):
            return True
        return self._was_down(answer.dispatcher, request.at, answer.at)

    def _was_down(self, process: str, begin: int, end: int) -> bool:
        return any(period.overlaps(begin, end) for period in self.trial.downtimes.get(process, ()))

    def _class_was_removed(self, request_class: str) -> bool:
        """Whether any version of the settings lacks the request class."""
        return any(
            request_class not in [settings["name"] for settings in version.content.get("service-grades", ())]
            for documents in self.trial.histories.values()
            for version in documents.get(SETTINGS, {}).values()
        )

    def check_no_duplicate_effect(self) -> str:
        """A request accepted as non-idempotent is executed at most once, even if its class changes later."""
        executions = Counter(received.request_id for received in self.trial.observations.received_requests)
        for process, record in self.actions:
            if record.kind != "take" or executions[record.request_id] <= MAX_EXECUTIONS:
                continue
            if self._is_non_idempotent(record):
                count = executions[record.request_id]
                return f"{record.request_id}, once-only at {process}, ran {count} times"
        return ""

    def _is_non_idempotent(self, record: ActionRecord) -> bool:
        """Whether the request was non-idempotent under the settings in force at the process."""
        state = record.versions.get(SETTINGS, NO_STATE)
        settings: JsonObject = json.loads(self.contents.get((SETTINGS, state), "null")) or {}
        return any(
            class_settings["name"] == record.request_class and class_settings["effect"] == "unsafe"
            for class_settings in settings.get("service-grades", ())
        )

    def check_drained_backends(self) -> str:
        """No request reaches a backend from the activation of its drain until a process knows its return."""
        periods = list(self._drained_periods())
        for received in self.trial.observations.received_requests:
            for period in periods:
                if (
                    period.backend_id == received.backend_id
                    and period.begin + PROPAGATION_GRACE < received.at < period.end
                ):
                    return (
                        f"{received.request_id} reached {received.backend_id} "
                        f"at {self.trial.format_time(received.at)}, "
                        f"which is out since {self.trial.format_time(period.begin)}"
                    )
        return ""

    def _drained_periods(self) -> Iterator[DrainedPeriod]:
        drained: dict[int, set[str]] = {}  # by version, the backends that it drains
        for documents in self.trial.histories.values():
            for number, version in documents.get(DRAINED_BACKENDS, {}).items():
                drained[number] = set(version.content.get("runners", {}))
        active_from: dict[int, int] = {}  # by version
        known_from: dict[int, int] = {}
        for state, first_use in self.first_used[DRAINED_BACKENDS].items():
            for number in range(1, state.active + 1):
                active_from[number] = min(active_from.get(number, FOREVER), first_use.at)
            for number in range(1, state.newest + 1):
                known_from[number] = min(known_from.get(number, FOREVER), first_use.at)
        for number in sorted(drained):
            for backend_id in drained[number] if number in active_from else ():
                returns = [
                    later for later in sorted(drained) if later > number and backend_id not in drained[later]
                ]
                end = known_from.get(returns[0], FOREVER) if returns else FOREVER
                yield DrainedPeriod(active_from[number], end, backend_id)

    def check_final_health(self) -> str:
        """At the end, all processes act on the same documents."""
        faults = self.trial.final_faults
        return "; ".join(f"{process}: {reason}" for process, reason in faults.items() if reason)
