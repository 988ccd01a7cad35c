"""A member of the fleet: what it has heard, and until when it may act on it.

Leases come down a tree: a leader that has just heard a majority, the other voters, the followers of each.
None lasts longer than the one above it. Whoever is asked counts from his answer on and a little longer, who
asks from his question on: so each knows of every lease below him that still runs. `docs/bound.md` has the
argument; every rule of it stands here and in `raft.py`.
"""

from collections.abc import Callable
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from crankfold.consensus.conservative_merge import DOCUMENTS, LIMITS, QUOTAS, SETTINGS
from crankfold.consensus.messages import (
    FollowerHeartbeat,
    FollowerUpdate,
    LeaseGrant,
    LeaseHolderStatus,
    LeaseRequest,
    Leave,
    MaintenanceReport,
    MembershipGossip,
    Message,
    ProposalRequest,
    ProposalResponse,
    Rejection,
    Snapshot,
    Timing,
    ValidationRequest,
    ValidationResponse,
)
from crankfold.consensus.raft import LEADER, PersistentState, Raft, Ready
from crankfold.consensus.versioned_documents import (
    MACHINES,
    ProposalOutcome,
    VersionedDocuments,
    folder_ids_after,
)

COMPACTION_THRESHOLD, MAX_ENTRIES_PER_UPDATE = 256, 200
ALIVE, SUSPECTED, LEASE_EXPIRED, LEFT = "there", "suspected", "cut off", "left"
GOSSIP_INTERVAL = 5  # renewals
MAX_RETIRED_INCARNATIONS = 8


class IncarnationTracker:
    """Of each name which process speaks for it. One that was replaced speaks for it no more."""

    def __init__(self) -> None:
        self.current: dict[str, int] = {}
        self.retired: dict[str, list[int]] = {}

    def accept(self, name: str, incarnation: int) -> bool:
        """Also makes it the present one, if it is new."""
        if incarnation in self.retired.get(name, ()):
            return False
        before = self.current.get(name)
        if before is not None and before != incarnation:
            dead = self.retired.setdefault(name, [])
            dead.append(before)
            del dead[:-MAX_RETIRED_INCARNATIONS]
        self.current[name] = incarnation
        return True


class LeaseHolder(Struct):
    """Whoever holds a lease from us."""

    incarnation: int
    since: int
    heard: int
    asked: int
    until: int = 0  # by our clock; his own ends before
    have: int = 0
    settled: int = 0
    left: bool = False
    carry: dict[str, int] = field(default_factory=dict)
    tell: MaintenanceReport | None = None
    mute: int = 0  # units of a process before this one may run on until then


class VoterReport(Struct):
    """What a voter told the leader last."""

    incarnation: int
    asked: int
    least: int
    settled: int
    drained: int
    tell: MaintenanceReport | None
    heard: int


def allocate_quotas(limits: dict[str, int], carries: dict[str, dict[str, int]]) -> dict[str, dict[str, int]]:
    """Of each limit every member's share, by what it carries and a little more; together the whole."""
    shares: dict[str, dict[str, int]] = {}
    for limit, whole in limits.items():
        weights = {name: carry.get(limit, 0) + 1 for name, carry in sorted(carries.items())}
        total = sum(weights.values())
        parts = {name: whole * weight // total for name, weight in weights.items()}
        left = whole - sum(parts.values())
        for name in sorted(parts, key=lambda name: (-(whole * weights[name] % total), name))[:left]:
            parts[name] += 1
        shares[limit] = parts
    return shares


class Member:
    def __init__(self, me: str, timing: Timing, now: int, incarnation: int) -> None:
        self.name, self.timing, self.started_at, self.incarnation = me, timing, now, incarnation
        self.documents, self.last_applied, self.lease_expires_at = VersionedDocuments(), 0, now
        self.changed_documents: set[str] = set()  # documents that read otherwise since the owner looked
        self.quiesced_index: Callable[[int], int] = lambda applied: applied
        self.quota_usage: Callable[[], dict[str, int]] = dict
        self.maintenance_report: Callable[[], MaintenanceReport | None] = lambda: None
        self.cluster_applied_index = 0  # up to here all act that may act
        self.proposal_responses: list[ProposalResponse] = []  # answers to what was asked for here
        self.rejection_reason = ""

    def has_lease(self, now: int) -> bool:
        """Whether it may act on what it has heard. To be asked at each act, as a process may stand still."""
        return now < self.lease_expires_at

    def effective_content(self, doc: str) -> dict[str, Any] | None:
        return self.documents.effective_content(doc)

    def _restore_snapshot(self, kept: Snapshot) -> None:
        self.documents, self.last_applied = VersionedDocuments(kept.state), kept.index
        self.changed_documents.update((*DOCUMENTS, MACHINES))


class Voter(Member):
    def __init__(
        self,
        me: str,
        stored: PersistentState,
        voters: dict[str, str],
        timing: Timing,
        now: int,
        seed: int,
        incarnation: int,
        folder: str,
        check: Callable[[str, dict[str, Any]], str],
        beginning: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(me, timing, now, incarnation)
        self.raft = Raft(me, stored, voters, timing, now, seed)
        self.validate_document, self.initial_settings, self.folder_id = check, beginning, folder
        self._restore_snapshot(self.raft.snapshot)
        self.incarnations = IncarnationTracker()
        self.folder_ids = {me: folder}  # as voters showed them
        self.raft.may_vote = self._may_vote
        self.raft.folder_ids_of = lambda names: {
            one: self.folder_ids[one] for one in names & self.folder_ids.keys()
        }
        self.lease_holders: dict[str, LeaseHolder] = {}
        self.lease_request_due_at, self.gossip_due_at = now, now
        self.remote_lease_holders: dict[str, list[LeaseHolderStatus]] = {}  # by voter, as it told last
        self.gossip_received_at: dict[str, int] = {}  # and when
        # While leading: by voter until when its lease can last, and the newest of what it told.
        self.led_term = 0
        self.granted_until: dict[str, int] = {}
        self.voter_reports: dict[str, VoterReport] = {}
        # Who leads asks it for the next steps of machines that are out for work.
        self.maintenance_steps: Callable[[int], list[dict[str, Any]]] | None = None
        self.maintenance_due_at = now
        self.activation_proposed: set[tuple[str, int]] = set()
        self.validations: dict[str, tuple[ProposalRequest, set[str], int]] = {}
        self.proposal_senders: dict[str, str] = {}  # of a call: who waits for its outcome, "" for ourselves

    # --- time and disk ---

    def is_leader(self) -> bool:
        """With all that was agreed before known here."""
        return self.raft.role == LEADER and self.raft.commit_index >= self.raft.term_start_index

    def next_deadline(self) -> int:
        return min(
            self.raft.next_deadline(),
            self.lease_request_due_at,
            self.gossip_due_at,
            self.maintenance_due_at if self.maintenance_steps else self.gossip_due_at,
        )

    def tick(self, now: int) -> None:
        self.raft.tick(now)
        self._process(now)
        if now >= self.lease_request_due_at:
            self._request_lease(now)
        if now >= self.gossip_due_at:
            self._send_gossip(now)
        if self.maintenance_steps and now >= self.maintenance_due_at:
            self.maintenance_due_at = now + self.timing.renew_interval
            steps = self.maintenance_steps(now)
            if steps and self.is_leader():
                self.raft.propose(now, "step", {"steps": steps})

    def take_ready(self, now: int) -> Ready:
        return self.raft.take_ready(now)

    def take_immediate_messages(self) -> list[tuple[str, Message]]:
        return self.raft.take_immediate_messages()

    def advance(self, now: int, batch: Ready) -> None:
        self.raft.advance(now, batch)
        self._process(now)

    def _process(self, now: int) -> None:
        """After anything that happened: what is agreed by now is acted on, and what follows from it."""
        raft = self.raft
        if raft.role == LEADER and raft.term != self.led_term:
            self.led_term = raft.term
            self.granted_until, self.voter_reports, self.activation_proposed, self.validations = (
                {},
                {},
                set(),
                {},
            )
        new = raft.commit_index > self.last_applied
        if self.last_applied < raft.snapshot.index:
            self._restore_snapshot(raft.snapshot)
        for entry in raft.entries_between(self.last_applied, raft.commit_index):
            self.last_applied += 1
            doc = self.documents.apply(self.last_applied, entry)
            if doc:
                self.changed_documents.add(doc)
            if entry.kind in ("publish", "step"):
                self._answer_proposal(entry.data.get("call", ""))
        if self.is_leader():
            if raft.quorum_contact_at() >= 0:
                self.lease_expires_at = max(
                    self.lease_expires_at, raft.quorum_contact_at() + self.timing.lease_duration
                )
            self._propose_initial_state(now)
            self._activate_versions(now)
        self.cluster_applied_index = raft.cluster_applied_index
        if new:
            self.maintenance_due_at = now  # what follows from it is looked for at once
            for name, ward in self.lease_holders.items():
                if ward.heard + self.timing.renew_interval * 3 > now and not ward.left:
                    self._send_update(now, name, ward, 0)
            self._request_lease(now)
            if (
                self.last_applied - raft.snapshot.index >= COMPACTION_THRESHOLD
                and raft.durable_index >= self.last_applied
            ):
                raft.compact(self.last_applied, self.documents.encode())

    # --- leases from the leader ---

    def _request_lease(self, now: int) -> None:
        self.lease_request_due_at = now + self.timing.renew_interval
        if self.raft.leader and self.raft.leader != self.name:
            least, settled = self.applied_bounds(now)
            drained, tell = self.drained_report(now)
            self.raft.send(
                self.raft.leader,
                LeaseRequest(self.raft.term, self.incarnation, now, least, settled, drained, tell),
            )

    def applied_bounds(self, now: int) -> tuple[int, int]:
        """Up to where all act that hold a lease from here, and up to where their units keep to it."""
        linger = self.documents.max_request_duration()
        least = settled = self.last_applied
        settled = min(settled, self.quiesced_index(self.last_applied))
        for ward in self.lease_holders.values():
            if now < ward.until:
                least = min(least, ward.have)
            if now < ward.until + linger:
                settled = min(settled, ward.settled)
        # A process that was here before us gave leases of which nothing is known.
        if now < self.started_at + self.timing.lease_expiry_wait:
            least = 0
        if now < self.started_at + self.timing.lease_expiry_wait + linger:
            settled = 0
        return least, settled

    def drained_report(self, now: int) -> tuple[int, MaintenanceReport | None]:
        """Up to where all had heard that hold a lease from here, or whose units may still run, when they told
        what is gathered here."""
        own, linger = self.maintenance_report(), self.documents.max_request_duration()
        if own is None:
            return 0, None
        upto = self.last_applied
        for ward in self.lease_holders.values():
            if now < ward.until + linger:
                upto = min(upto, ward.have if ward.tell and now >= ward.mute else 0)
                if ward.tell:
                    own.merge(ward.tell, now < ward.until)
        if now < self.started_at + self.timing.lease_expiry_wait + linger:
            upto = 0  # of the leases of a process before us nothing is known
        return upto, own

    def gather_maintenance(self, now: int) -> tuple[MaintenanceReport, Callable[[str, int], str]]:
        """What everybody that is heard has to say of machines, put together; and who may still send to one
        that is out by an entry, or holds units there. Nobody's silence is consent before his lease is over
        and his longest unit with it."""
        linger = self.documents.max_request_duration()
        parts = [(self.name, *self.drained_report(now))]
        parts += [
            (voter, self.voter_reports[voter].drained, self.voter_reports[voter].tell)
            for voter, until in sorted(self.granted_until.items())
            if now < until + linger
        ]
        whole = MaintenanceReport()
        for voter, _, tell in parts:
            if tell:
                whole.merge(tell, voter == self.name or now < self.granted_until[voter])
        early = now < self.raft.leader_since + self.timing.lease_expiry_wait + linger

        def holders(uid: str, index: int) -> str:
            if early:
                return "leases from before the last change of leader, and their units, may not be over"
            for voter, upto, tell in parts:
                if upto < index or tell is None:
                    return f"{voter} or one that follows it has not said yet that it has heard"
                if uid in tell.in_flight:
                    return f"{tell.in_flight[uid]} units there, of {voter} or those that follow it"
            return ""

        return whole, holders

    def _handle_lease_request(self, now: int, sender: str, ask: LeaseRequest) -> None:
        if (
            not self.is_leader()
            or ask.term != self.raft.term
            or not self.incarnations.accept(sender, ask.incarnation)
        ):
            return
        before = self.voter_reports.get(sender)
        if before and before.incarnation == ask.incarnation and ask.sent_at < before.asked:
            return  # overtaken
        self.voter_reports[sender] = VoterReport(
            ask.incarnation,
            ask.sent_at,
            ask.lowest_applied_index,
            ask.quiesced_index,
            ask.drained_index,
            ask.maintenance_report,
            now,
        )
        span = (
            self.raft.quorum_contact_at() + self.timing.lease_duration - now
            if self.raft.quorum_contact_at() >= 0
            else 0
        )
        if span > 0:
            self.granted_until[sender] = max(self.granted_until.get(sender, 0), now + span * 103 // 100)
            self.raft.send(sender, LeaseGrant(ask.term, ask.sent_at, span, self.raft.commit_index))
        self._activate_versions(now)

    def _handle_lease_grant(self, now: int, sender: str, grant: LeaseGrant) -> None:
        # One that was asked for in an earlier life was for what that life had heard.
        if (
            grant.term == self.raft.term
            and grant.request_sent_at >= self.started_at
            and self.last_applied >= grant.required_index
        ):
            self.lease_expires_at = max(self.lease_expires_at, grant.request_sent_at + grant.lease_duration)

    # --- when a version counts ---

    def _propose_initial_state(self, now: int) -> None:
        raft, none = self.raft, not self.documents.document(SETTINGS).versions
        if self.initial_settings is not None and none and ("", 0) not in self.activation_proposed:
            self.activation_proposed.add(("", 0))
            raft.propose(
                now,
                "publish",
                {
                    "call": "begin",
                    "doc": SETTINGS,
                    "made_from": 0,
                    "author": self.name,
                    "reason": "what the fleet begins with",
                    "at": 0,
                    "text": self.initial_settings,
                },
            )
        for name, folder in self.folder_ids.items():
            if (
                name in raft.voters
                and name not in self.documents.replicated.voter_folder_ids
                and (name, 0) not in self.activation_proposed
            ):
                self.activation_proposed.add((name, 0))
                raft.propose(now, "folder", {"voter": name, "folder": folder})

    def _activate_versions(self, now: int) -> None:
        """A version counts once all that may act have heard of it; earlier leaders' leases run out first."""
        wait = self.raft.leader_since + self.timing.lease_expiry_wait
        if now < wait:
            return
        linger = self.documents.max_request_duration()
        live = [self.voter_reports[voter].least for voter, until in self.granted_until.items() if now < until]
        self.raft.cluster_applied_index = max(
            self.raft.cluster_applied_index, min([self.applied_bounds(now)[0], *live])
        )
        for name, version in self.documents.pending_versions():
            if (name, version.number) in self.activation_proposed:
                continue
            more = linger if name == QUOTAS else 0
            heard = [self.applied_bounds(now)[name == QUOTAS]]
            heard += [
                report.settled if name == QUOTAS else report.least
                for voter, report in self.voter_reports.items()
                if now < self.granted_until.get(voter, 0) + more
            ]
            if now >= wait + more and min(heard) >= version.index:
                self.activation_proposed.add((name, version.number))
                self.raft.propose(now, "count", {"doc": name, "number": version.number})

    # --- followers ---

    def admission_error(self, voter: str, folder: str) -> str:
        """Why this one may not vote under that name, or nothing."""
        if self._registered_folder_ids().get(voter, folder) != folder:
            return f"{voter} is known by another folder; take the voter out and add it anew"
        self.folder_ids[voter] = folder
        return ""

    def _registered_folder_ids(self) -> dict[str, str]:
        """By all of the log: after a start nobody knows yet how much of it is agreed."""
        known = self.documents.replicated.voter_folder_ids
        for entry in self.raft.entries_between(self.last_applied, self.raft.last_index()):
            known = folder_ids_after(known, entry)
        return known

    def _may_vote(self, last: int) -> bool:
        """Whoever lost his folder has forgotten what he answered for, and must not vote under his old name.
        He may who is registered by his folder, who voted before there was a history, or while there is none.
        """
        known = self._registered_folder_ids().get(self.name)
        founds = self.raft.founding_member or last == 0 and self.raft.last_index() == 0
        return known == self.folder_id if known else founds

    def _handle_follower_heartbeat(self, now: int, sender: str, ask: FollowerHeartbeat) -> None:
        ward = self.lease_holders.get(ask.name)
        if ward and ward.incarnation != ask.incarnation and now < ward.until and not ward.left:
            self.raft.send(sender, Rejection(f"the name {ask.name} is in use by another process"))
            return
        if ask.name in self.raft.voters or self._has_remote_lease(ask):
            self.raft.send(sender, Rejection(f"the name {ask.name} is in use elsewhere"))
            return
        if not self.incarnations.accept(ask.name, ask.incarnation):
            self.raft.send(sender, Rejection(f"another process has taken the name {ask.name} over"))
            return
        if ward is None or ward.incarnation != ask.incarnation:
            old = ward
            ward = self.lease_holders[ask.name] = LeaseHolder(ask.incarnation, now, now, ask.sent_at)
            if old and now < old.until + self.documents.max_request_duration():
                ward.settled, ward.have = (
                    min(old.settled, ask.quiesced_index),
                    ask.last_applied,
                )  # its units may run on
                ward.mute = old.until + self.documents.max_request_duration()
        if ask.sent_at < ward.asked:
            return
        ward.heard, ward.asked, ward.left = now, ask.sent_at, False
        ward.have, ward.settled, ward.carry, ward.tell = (
            ask.last_applied,
            ask.quiesced_index,
            ask.quota_usage,
            ask.maintenance_report,
        )
        self._send_update(now, ask.name, ward, ask.sent_at)

    def _has_remote_lease(self, ask: FollowerHeartbeat) -> bool:
        return any(
            one.name == ask.name and one.incarnation != ask.incarnation and one.state == ALIVE
            for wards in self.remote_lease_holders.values()
            for one in wards
        )

    def _send_update(self, now: int, name: str, ward: LeaseHolder, asked: int) -> None:
        raft = self.raft
        kept = raft.snapshot if ward.have < raft.snapshot.index else None
        before = kept.index if kept else ward.have
        entries = raft.entries_between(before, min(self.last_applied, before + MAX_ENTRIES_PER_UPDATE))
        span = 0
        if asked and self.has_lease(now) and before + len(entries) == self.last_applied:
            span = self.lease_expires_at - now
            ward.until = max(ward.until, now + span * 103 // 100)
        raft.send(
            name,
            FollowerUpdate(asked, span, before, kept, entries, self.last_applied, raft.cluster_applied_index),
        )

    def lease_holder_state(self, now: int, ward: LeaseHolder) -> str:
        if ward.left:
            return LEFT
        if now - ward.heard < 3 * self.timing.renew_interval:
            return ALIVE
        return SUSPECTED if now < ward.until else LEASE_EXPIRED

    def _send_gossip(self, now: int) -> None:
        self.gossip_due_at = now + GOSSIP_INTERVAL * self.timing.renew_interval
        for voter in [
            v
            for v, at in self.gossip_received_at.items()
            if now - at > 3 * GOSSIP_INTERVAL * self.timing.renew_interval
        ]:
            del (
                self.gossip_received_at[voter],
                self.remote_lease_holders[voter],
            )  # its wards have turned to others by now
        wards = [
            LeaseHolderStatus(
                name,
                ward.incarnation,
                now - ward.since,
                ward.have,
                self.lease_holder_state(now, ward),
                ward.carry,
            )
            for name, ward in self.lease_holders.items()
        ]
        wards.append(
            LeaseHolderStatus(
                self.name,
                self.incarnation,
                now - self.started_at,
                self.last_applied,
                ALIVE,
                self.quota_usage(),
            )
        )
        if self.is_leader():
            self._propose_quotas(now, wards)
        for voter in self.raft.voters:
            if voter != self.name:
                self.raft.send(voter, MembershipGossip(wards))
        for name, ward in list(self.lease_holders.items()):
            if now > ward.until + self.documents.max_request_duration() + 60 * self.timing.lease_duration:
                del self.lease_holders[name]  # long gone

    def _propose_quotas(self, now: int, own: list[LeaseHolderStatus]) -> None:
        """Limits for the whole fleet, dealt out by what each carries. Anew where somebody came or went, or
        one has nothing left while another has, and not before the last deal counts."""
        limits = (self.documents.effective_content(LIMITS) or {}).get("limits", {})
        deals = self.documents.document(QUOTAS)
        if deals.pending() or not self.documents.document(LIMITS).versions:
            return
        there = [
            one for wards in (own, *self.remote_lease_holders.values()) for one in wards if one.state == ALIVE
        ]
        carries = {one.name: one.quota_usage for one in there}
        new, old = (
            allocate_quotas(limits, carries),
            deals.versions[-1].text["shares"] if deals.versions else {},
        )
        same = old.keys() == new.keys() and all(
            old[limit].keys() == new[limit].keys() and sum(old[limit].values()) == whole
            for limit, whole in limits.items()
        )
        moved = any(
            carries[name].get(limit, 0) >= part and 10 * (new[limit][name] - part) > limits[limit]
            for limit, parts in old.items()
            if same
            for name, part in parts.items()
        )
        if not same or moved:
            self.raft.propose(
                now,
                "publish",
                {
                    "call": f"deal {self.raft.term} {self.raft.last_index()}",
                    "doc": QUOTAS,
                    "made_from": deals.latest_number(),
                    "author": self.name,
                    "reason": "dealt by what each carries",
                    "at": 0,
                    "text": {"shares": new},
                },
            )

    # --- publishing ---

    def propose(self, now: int, call: str, kind: str, data: dict[str, Any]) -> None:
        """Asks for something to be agreed; the outcome comes in `told`. The same call may be asked again."""
        self._handle_proposal(now, "", ProposalRequest(call, kind, data))
        self._process(now)

    def _handle_proposal(self, now: int, sender: str, ask: ProposalRequest) -> None:
        if self.raft.role != LEADER:
            if self.raft.leader:
                self.proposal_senders[ask.proposal_id] = sender
                self.raft.send(self.raft.leader, ask)
            else:
                self._respond(sender, ProposalResponse(ask.proposal_id, False, "there is no leader", 0, 0))
            return
        self.proposal_senders[ask.proposal_id] = sender
        if ask.kind == "voters":
            voters = ask.data.get("voters")
            why = self.raft.change_voters(now, voters) if isinstance(voters, dict) else "no voters"
            self._respond(sender, ProposalResponse(ask.proposal_id, not why, why, 0, self.raft.last_index()))
        elif ask.proposal_id in self.documents.replicated.outcomes:
            self._answer_proposal(ask.proposal_id)
        elif ask.kind == "step":
            self.raft.propose(now, "step", {**ask.data, "call": ask.proposal_id})
        elif ask.proposal_id in self.validations:
            self._request_validation(ask)  # those that went out may be lost, as well as their answers
        else:
            fault = proposal_error(ask) or self.validate_document(ask.data["doc"], ask.data["text"])
            if fault:
                self._respond(sender, ProposalResponse(ask.proposal_id, False, f"{self.name}: {fault}", 0, 0))
                return
            self.validations[ask.proposal_id] = ask, {self.name}, now
            self._request_validation(ask)
            self._propose_if_validated(now, ask.proposal_id)
        for call, (_, _, since) in list(self.validations.items()):
            if now - since > 20 * self.timing.stated:
                del self.validations[call]

    def _request_validation(self, ask: ProposalRequest) -> None:
        for voter in sorted(self.raft.voters.keys() - self.validations[ask.proposal_id][1]):
            self.raft.send(voter, ValidationRequest(ask.proposal_id, ask.data["doc"], ask.data["text"]))

    def _handle_validation_response(self, now: int, sender: str, told: ValidationResponse) -> None:
        if told.proposal_id not in self.validations:
            return
        ask, yes, _ = self.validations[told.proposal_id]
        if told.error:
            del self.validations[told.proposal_id]
            self._respond(
                self.proposal_senders.get(told.proposal_id, ""),
                ProposalResponse(told.proposal_id, False, f"{sender}: {told.error}", 0, 0),
            )
            return
        yes.add(sender)
        self._propose_if_validated(now, told.proposal_id)

    def _propose_if_validated(self, now: int, call: str) -> None:
        """A majority is enough: who can't be reached now would check it when it is too late."""
        ask, yes, _ = self.validations[call]
        if self.raft.role == LEADER and 2 * len(yes & self.raft.voters.keys()) > len(self.raft.voters):
            del self.validations[call]
            self.raft.propose(now, "publish", {**ask.data, "call": call})

    def _answer_proposal(self, call: str) -> None:
        made = self.documents.replicated.outcomes.get(call)
        if made and call in self.proposal_senders:
            self._respond(self.proposal_senders.pop(call), response_from_outcome(call, made))

    def _respond(self, to: str, told: ProposalResponse) -> None:
        if to:
            self.raft.send(to, told)
        else:
            self.proposal_responses.append(told)

    # --- messages ---

    def receive(self, now: int, sender: str, told: Message) -> None:
        if isinstance(told, LeaseRequest):
            self._handle_lease_request(now, sender, told)
        elif isinstance(told, LeaseGrant):
            self._handle_lease_grant(now, sender, told)
        elif isinstance(told, FollowerHeartbeat):
            self._handle_follower_heartbeat(now, sender, told)
        elif isinstance(told, ProposalRequest):
            self._handle_proposal(now, sender, told)
        elif isinstance(told, ProposalResponse):
            if told.proposal_id in self.proposal_senders:
                self._respond(self.proposal_senders.pop(told.proposal_id), told)
        elif isinstance(told, ValidationRequest):
            self.raft.send(
                sender,
                ValidationResponse(
                    told.proposal_id, self.validate_document(told.document_name, told.content)
                ),
            )
        elif isinstance(told, ValidationResponse):
            self._handle_validation_response(now, sender, told)
        elif isinstance(told, MembershipGossip):
            self.remote_lease_holders[sender], self.gossip_received_at[sender] = told.lease_holders, now
        elif isinstance(told, Leave):
            ward = self.lease_holders.get(told.name)
            if ward and ward.incarnation == told.incarnation:
                ward.left, ward.until = True, now
        elif isinstance(told, Rejection):
            self.rejection_reason = told.reason
        else:
            self.raft.receive(now, sender, told)
        self._process(now)


class PublishData(Struct):
    """What an operator has to say of a version."""

    doc: Literal["settings", "runners-out", "runners-never", "limits", "deal", "works"]
    made_from: Annotated[int, Meta(ge=0)]
    author: Annotated[str, Meta(max_length=200)]
    reason: Annotated[str, Meta(max_length=2000)]
    at: int
    text: dict[str, Any]


def proposal_error(ask: ProposalRequest) -> str:
    try:
        msgspec.convert(ask.data, PublishData)
    except msgspec.ValidationError as wrong:
        return str(wrong)
    return f"no way to agree on {ask.kind!r}" if ask.kind != "publish" else ""


def response_from_outcome(call: str, made: ProposalOutcome) -> ProposalResponse:
    return ProposalResponse(call, made.accepted, made.reason, made.version_number, made.log_index)


class Follower(Member):
    """Takes what was agreed from a voter, and from another one when it fails."""

    def __init__(
        self, me: str, voters: list[str], timing: Timing, now: int, seed: int, incarnation: int
    ) -> None:
        super().__init__(me, timing, now, incarnation)
        self.voters, self.random_state = sorted(voters), seed & 0xFFFFFFFFFFFFFFFF
        self.voter = self.voters[self._random_below(len(self.voters))]
        self.outbox: list[tuple[str, Message]] = []
        self.voter_contact_at = now
        self.heartbeat_due_at = now + self._random_below(timing.renew_interval)
        self.calls: dict[str, ProposalRequest] = {}

    def _random_below(self, below: int) -> int:
        self.random_state = (
            self.random_state * 6364136223846793005 + 1442695040888963407
        ) & 0xFFFFFFFFFFFFFFFF
        return ((self.random_state >> 33) * below) >> 31

    def next_deadline(self) -> int:
        return self.heartbeat_due_at

    def take_ready(self, now: int) -> Ready:
        return Ready(0, "")

    def take_immediate_messages(self) -> list[tuple[str, Message]]:
        send, self.outbox = self.outbox, []
        return send

    def advance(self, now: int, batch: Ready) -> None:
        """Nothing of it lasts."""

    def tick(self, now: int) -> None:
        if now < self.heartbeat_due_at:
            return
        if now - self.voter_contact_at > 3 * self.timing.renew_interval:
            self._switch_voter(now)
        else:
            self._send_heartbeat(now)

    def _switch_voter(self, now: int) -> None:
        """To another voter, drawn, and not at once: all that lost the same one would fall on the next."""
        others = [v for v in self.voters if v != self.voter] or self.voters
        self.voter = others[self._random_below(len(others))]
        self.voter_contact_at = now
        self.heartbeat_due_at = now + self._random_below(self.timing.renew_interval)

    def _send_heartbeat(self, now: int) -> None:
        self.heartbeat_due_at = (
            now + self.timing.renew_interval * 3 // 4 + self._random_below(self.timing.renew_interval // 2)
        )
        self.outbox.append(
            (
                self.voter,
                FollowerHeartbeat(
                    self.name,
                    self.incarnation,
                    now,
                    self.last_applied,
                    self.quiesced_index(self.last_applied),
                    self.quota_usage(),
                    self.maintenance_report(),
                ),
            )
        )

    def propose(self, now: int, call: str, kind: str, data: dict[str, Any]) -> None:
        self.outbox.append((self.voter, ProposalRequest(call, kind, data)))

    def leave(self, now: int) -> None:
        self.lease_expires_at = min(self.lease_expires_at, now)
        self.outbox.append((self.voter, Leave(self.name, self.incarnation)))

    def receive(self, now: int, sender: str, told: Message) -> None:
        if isinstance(told, ProposalResponse):
            self.proposal_responses.append(told)
        elif isinstance(told, Rejection):
            self.rejection_reason, self.voter_contact_at = told.reason, now
        elif isinstance(told, FollowerUpdate):
            self._handle_update(now, sender, told)

    def _handle_update(self, now: int, sender: str, told: FollowerUpdate) -> None:
        if sender == self.voter:
            self.voter_contact_at = now
        self.rejection_reason = ""
        before = self.last_applied
        self.cluster_applied_index = max(self.cluster_applied_index, told.cluster_applied_index)
        if told.snapshot and told.snapshot.index > self.last_applied:
            self._restore_snapshot(told.snapshot)
        if told.prev_log_index <= self.last_applied:
            for entry in told.entries[self.last_applied - told.prev_log_index :]:
                self.last_applied += 1
                doc = self.documents.apply(self.last_applied, entry)
                if doc:
                    self.changed_documents.add(doc)
        if (
            told.lease_duration
            and told.request_sent_at >= self.started_at
            and self.last_applied >= told.voter_last_applied
        ):
            self.lease_expires_at = max(self.lease_expires_at, told.request_sent_at + told.lease_duration)
        if self.last_applied > before or self.last_applied < told.voter_last_applied:
            self._send_heartbeat(now)  # who publishes waits for us to have heard
