"""The values behind the files under tests/data: everything that processes store or send to each other.

`tests/data/write_fixtures.py` wrote the files from these values; tests read the files and expect the same
values.
"""

from typing import Any

from crankfold.cluster.framing import Hello
from crankfold.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    FollowerHeartbeat,
    FollowerUpdate,
    InstallSnapshot,
    LeaseGrant,
    LeaseHolderStatus,
    LeaseRequest,
    Leave,
    LogEntry,
    MaintenanceReport,
    MembershipGossip,
    Message,
    ProposalRequest,
    ProposalResponse,
    Rejection,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    ValidationRequest,
    ValidationResponse,
)
from crankfold.consensus.raft_state import Ready
from crankfold.maintenance.specification import (
    JobSpecification,
    JobState,
    OverduePolicy,
    Target,
    WorkMethod,
)

SNAPSHOT = Snapshot(index=41, term=6, voters={"n0": "h0:7000", "n1": "h1:7000"}, state=b"\x00state\xff")
ENTRIES = [
    LogEntry(term=6, kind="begin", data={"by": "n0"}),
    LogEntry(term=7, kind="count", data={"doc": "settings", "number": 3}),
]
MAINTENANCE_REPORT = MaintenanceReport(
    in_flight={"r1": 2, "r2": 300},
    unresolved={"r1": ["u1", "u2"]},
    response_counts={"r3": (70000, 4)},
    unavailable=["r4"],
    idle_dispatchers=["@n1"],
    dispatcher_zones={"n1": "north"},
    open_requests=5,
    recent_accepted=60,
    recent_shed=7,
)

# At least one message of each type that members send, by the name of its file.
MESSAGES: dict[str, list[Message | Hello]] = {
    "hello": [
        Hello(protocol_version=1, name="n0", incarnation=2**47 + 5, folder_id="0123456789abcdef"),
        Hello(protocol_version=1, name="f", incarnation=9, folder_id=""),
    ],
    "ballot": [
        RequestVote(term=7, last_log_index=300, last_log_term=6, pre_vote=True),
        RequestVote(term=8, last_log_index=301, last_log_term=7, pre_vote=False),
    ],
    "ballot-answer": [
        RequestVoteResponse(term=7, pre_vote=True, vote_granted=False),
        RequestVoteResponse(term=8, pre_vote=False, vote_granted=True),
    ],
    "append": [
        AppendEntries(
            term=7,
            prev_log_index=40,
            prev_log_term=5,
            entries=ENTRIES,
            leader_commit=39,
            round_number=12,
            cluster_applied_index=38,
        ),
        AppendEntries(
            term=7,
            prev_log_index=42,
            prev_log_term=7,
            entries=[],
            leader_commit=41,
            round_number=13,
            cluster_applied_index=40,
        ),
    ],
    "append-answer": [
        AppendEntriesResponse(term=7, success=True, match_index=42, round_number=13),
        AppendEntriesResponse(term=7, success=False, match_index=17, round_number=14),
    ],
    "install": [InstallSnapshot(term=7, snapshot=SNAPSHOT, round_number=15)],
    "ask": [
        LeaseRequest(
            term=7,
            incarnation=2**40,
            sent_at=123456789,
            lowest_applied_index=40,
            quiesced_index=38,
            drained_index=0,
            maintenance_report=None,
        ),
        LeaseRequest(
            term=7,
            incarnation=2**40,
            sent_at=123456790,
            lowest_applied_index=41,
            quiesced_index=39,
            drained_index=37,
            maintenance_report=MAINTENANCE_REPORT,
        ),
    ],
    "grant": [LeaseGrant(term=7, request_sent_at=123456789, lease_duration=16000, required_index=41)],
    "follow": [
        FollowerHeartbeat(
            name="f",
            incarnation=9,
            sent_at=5000000000,
            last_applied=40,
            quiesced_index=36,
            quota_usage={"all": 3, "grade:g": 2},
            maintenance_report=None,
        ),
        FollowerHeartbeat(
            name="f",
            incarnation=9,
            sent_at=5000000001,
            last_applied=41,
            quiesced_index=37,
            quota_usage={},
            maintenance_report=MAINTENANCE_REPORT,
        ),
    ],
    "news": [
        FollowerUpdate(
            request_sent_at=5000000000,
            lease_duration=14000,
            prev_log_index=40,
            snapshot=None,
            entries=ENTRIES,
            voter_last_applied=42,
            cluster_applied_index=38,
        ),
        FollowerUpdate(
            request_sent_at=5000000001,
            lease_duration=0,
            prev_log_index=41,
            snapshot=SNAPSHOT,
            entries=[],
            voter_last_applied=43,
            cluster_applied_index=39,
        ),
    ],
    "refused": [Rejection(reason="the folder is not the one by which n1 is known")],
    "publish": [
        ProposalRequest(
            proposal_id="c1",
            kind="publish",
            data={
                "doc": "limits",
                "made_from": 2,
                "author": "o",
                "reason": "r",
                "at": 1700000000000,
                "text": {"limits": {"all": 9}},
            },
        )
    ],
    "published": [
        ProposalResponse(proposal_id="c1", accepted=True, reason="", version_number=3, log_index=44),
        ProposalResponse(
            proposal_id="c2", accepted=False, reason="made from version 1", version_number=2, log_index=45
        ),
    ],
    "check": [
        ValidationRequest(
            proposal_id="c3", document_name="settings", content={"tick": 2000, "nested": [1, 2.5, None, "x"]}
        )
    ],
    "checked": [ValidationResponse(proposal_id="c3", error="n1: settings.tick: found 1")],
    "goodbye": [Leave(name="f", incarnation=9)],
    "roster": [
        MembershipGossip(
            lease_holders=[
                LeaseHolderStatus(
                    name="n0",
                    incarnation=3,
                    contact_ticks=900,
                    last_applied=42,
                    state="there",
                    quota_usage={"all": 1},
                ),
                LeaseHolderStatus(
                    name="f",
                    incarnation=9,
                    contact_ticks=70000,
                    last_applied=40,
                    state="cut off",
                    quota_usage={},
                ),
            ]
        )
    ],
}

# What a voter saves, in order: in a folder whose log only grows, and in one that is compacted afterwards.
GROWN_SAVES = [
    Ready(
        term=1,
        vote="n0",
        founding_member=True,
        hard_state_changed=True,
        first_index=1,
        entries=[
            LogEntry(term=1, kind="begin", data={"by": "n0", "folders": {"n0": "0123456789abcdef"}}),
            LogEntry(term=1, kind="folder", data={"voter": "n1", "folder": "f1"}),
        ],
    ),
    Ready(term=2, vote="", founding_member=True, hard_state_changed=True),
    Ready(term=2, vote="n1", founding_member=True, hard_state_changed=True),
    Ready(
        term=2,
        vote="n1",
        founding_member=True,
        first_index=2,
        entries=[
            LogEntry(term=2, kind="begin", data={"by": "n1"}),
            LogEntry(term=2, kind="voters", data={"voters": {"n0": "h0:7000", "n1": "h1:7000"}}),
        ],
    ),
]
COMPACTED_SAVES = [
    *GROWN_SAVES,
    Ready(
        term=2,
        vote="n1",
        founding_member=True,
        snapshot=Snapshot(index=2, term=2, voters={"n0": "h0:7000"}, state=b"whole"),
        first_index=3,
        entries=[LogEntry(term=2, kind="count", data={"doc": "limits", "number": 1})],
    ),
    Ready(
        term=3,
        vote="n0",
        founding_member=True,
        hard_state_changed=True,
        first_index=4,
        entries=[LogEntry(term=3, kind="begin", data={"by": "n0"})],
    ),
]


def _publish(
    call: str, doc: str, made_from: int, text: dict[str, Any], at: int = 1_700_000_000_000
) -> LogEntry:
    return LogEntry(
        term=1,
        kind="publish",
        data={
            "call": call,
            "doc": doc,
            "made_from": made_from,
            "author": "operator",
            "reason": f"why {call}",
            "at": at,
            "text": text,
        },
    )


def _transition(
    uid: str, step: str, work: str, last: int | None = None, call: str = "", **fields: Any
) -> LogEntry:
    data: dict[str, Any] = {
        "uid": uid,
        "step": step,
        "work": work,
        "by": "n0",
        "why": f"{step} {uid}",
        "at": 1_700_000_100_000,
        **fields,
    }
    if last is not None:
        data["last"] = last
    return LogEntry(term=2, kind="step", data={"steps": [data], **({"call": call} if call else {})})


def _settings(effect: str, deadline: int, attempts: int) -> dict[str, Any]:
    return {
        "service-grades": [
            {
                "name": "g",
                "effect": effect,
                "cut-off": deadline,
                "expected-time": 500_000,
                "group": "zone",
                "repeat-window": 1_000_000,
                "revenue": 1.5,
            }
        ],
        "allowed": {"most-dispatches": attempts, "second-copies": True, "cancel": False},
    }


PLACEMENT = ("north", "big", "c1", 2.0)
JOBS_DOCUMENT_1 = {"works": {"disks": {"why": "new disks", "zones": ["north"], "at-once": 4}}}
JOBS_DOCUMENT_2 = {
    "works": {**JOBS_DOCUMENT_1["works"], "bios": {"machines": ["r1"], "way": "list", "takes": 60.0}}
}

# A log with entries of all kinds, from index 1 on; the comments give the indices of some entries.
HISTORY = [
    LogEntry(term=1, kind="begin", data={"by": "n0", "folders": {"n0": "f0", "n1": "f1"}}),
    LogEntry(term=1, kind="folder", data={"voter": "n2", "folder": "f2"}),
    _publish("begin", "settings", 0, _settings("safe", 5_000_000, 4)),
    LogEntry(term=1, kind="count", data={"doc": "settings", "number": 1}),
    _publish("c1", "settings", 1, _settings("keyed", 4_000_000, 3)),
    _publish("c2", "settings", 1, _settings("unsafe", 3_000_000, 2)),  # rejected: version 2 is already there
    LogEntry(term=1, kind="voters", data={"voters": {"n0": "h0:7000", "n1": "h1:7000"}}),
    _publish("c3", "limits", 0, {"limits": {"all": 9, "grade:g": 4, "tenant:t": 0}}),
    LogEntry(term=1, kind="count", data={"doc": "limits", "number": 1}),
    _publish("c4", "deal", 0, {"shares": {"all": {"n0": 5, "n1": 4}, "grade:g": {"n0": 4, "n1": 0}}}),
    LogEntry(term=1, kind="count", data={"doc": "deal", "number": 1}),
    _publish("c5", "runners-out", 0, {"runners": {"r9": "smells"}}),
    LogEntry(term=1, kind="count", data={"doc": "runners-out", "number": 1}),
    _publish("c6", "runners-out", 1, {"runners": {"r8": "noise"}}),
    _publish("c7", "runners-never", 0, {"runners": {"r7": "stolen"}}),
    LogEntry(term=1, kind="count", data={"doc": "runners-never", "number": 1}),
    _publish("c8", "works", 0, JOBS_DOCUMENT_1),
    LogEntry(term=1, kind="count", data={"doc": "works", "number": 1}),
    _publish("c9", "works", 1, JOBS_DOCUMENT_2),
    LogEntry(term=1, kind="count", data={"doc": "works", "number": 2}),
    _transition("r1", "out", "disks", made_from=0, plan=2, start=77, place=list(PLACEMENT)),  # 21
    _transition("r1", "free", "disks", 21),
    _transition("r1", "work", "disks", 22, number=22, life=2**45),
    _transition("r1", "ended", "disks", 23, number=22),
    _transition("r1", "free", "bios", 24),  # the next job uses the time while the machine is out
    _transition("r2", "out", "disks", made_from=1, plan=2, start=78, place=list(PLACEMENT)),  # 26
    _transition("r2", "back", "disks", 26),
    _transition("r2", "well", "disks", 27),
    _transition("r3", "out", "disks", made_from=4, plan=2, start=79, place=list(PLACEMENT)),  # 29
    _transition("r3", "free", "disks", 29),
    _transition("r3", "unwell", "disks", 30),
    _transition("r4", "out", "disks", made_from=0, plan=2),  # 32: rejected, decided on an older state
    _transition("disks", "halt", "disks"),
    _transition("r3", "back", "disks", 29, call="s1"),  # 34: rejected, decided before transition 31
    _transition("r3", "back", "disks", 31, call="s2"),
]

JOBS: dict[str, JobSpecification] = {
    "least": JobSpecification(),
    "disks": JobSpecification(
        reason="new disks",
        target=Target.BACKENDS,
        machines=["r1", "r2"],
        zones=["north"],
        instance_types=["big"],
        cells=["1"],
        started_before_ms=1_700_000_000_000,
        max_out=4,
        max_out_per_zone=2,
        max_out_per_instance_type=3,
        max_out_per_cell=1,
        min_remaining_share=0.8,
        min_remaining_zone_share=0.25,
        not_before_ms=1_700_000_000_001,
        not_after_ms=1_700_000_000_002,
        after=["least"],
        exclusive_with=["restarts"],
        joint_absence_allowed=False,
        method=WorkMethod.COMMAND,
        command=["/usr/local/bin/swap-disk", "-f"],
        command_repeatable=True,
        work_seconds=900.5,
        overdue_policy=OverduePolicy.CONTINUE,
        watch_seconds=6.5,
        min_responses=7,
        min_good_share=0.75,
        max_unhealthy_streak=3,
        max_shed_share=0.125,
        requests_per_size=12.5,
        state=JobState.HOLD,
        control_count=2,
    ),
    "restarts": JobSpecification(
        target=Target.DISPATCHERS,
        machines=["n0"],
        method=WorkMethod.OPERATOR,
        overdue_policy=OverduePolicy.GIVE_UP,
        state=JobState.STOPPED,
    ),
}

# The manual drains of the dispatcher "n0": two drained backends, and one that was put back, with its
# assumed start.
MANUAL_DRAINS: dict[str, Any] = {
    "of": "n0",
    "bans": {"a": 1234567, "gone": 2345678},
    "assumed": {"b": [3456789, 4567890]},
}
