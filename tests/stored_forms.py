"""Plain values of all that is stored or told between processes, for the files under tests/data.

`tests/data/write_fixtures.py` wrote those files from these values; `tests/test_stored_forms.py` reads them.
"""

from typing import Any

from crankfold.agreement.raft import Batch
from crankfold.agreement.words import (
    Append,
    AppendAnswer,
    Ask,
    Ballot,
    BallotAnswer,
    Check,
    Checked,
    Entry,
    Follow,
    Goodbye,
    Grant,
    Install,
    Kept,
    Message,
    News,
    Publish,
    Published,
    Refused,
    Roster,
    Tell,
    Warded,
)
from crankfold.peers.frames import Hello
from crankfold.works.form import Given

KEPT = Kept(index=41, term=6, voters={"n0": "h0:7000", "n1": "h1:7000"}, state=b"\x00state\xff")
ENTRIES = [
    Entry(term=6, kind="begin", data={"by": "n0"}),
    Entry(term=7, kind="count", data={"doc": "settings", "number": 3}),
]
TELL = Tell(
    holds={"r1": 2, "r2": 300},
    unsure={"r1": ["u1", "u2"]},
    answers={"r3": (70000, 4)},
    lost=["r4"],
    idle=["@n1"],
    zones={"n1": "north"},
    in_hand=5,
    taken=60,
    shed=7,
)

# One or more of each message between peers, by the name of its file.
MESSAGES: dict[str, list[Message | Hello]] = {
    "hello": [
        Hello(form=1, name="n0", incarnation=2**47 + 5, folder="0123456789abcdef"),
        Hello(form=1, name="f", incarnation=9, folder=""),
    ],
    "ballot": [
        Ballot(term=7, last=300, last_term=6, trial=True),
        Ballot(term=8, last=301, last_term=7, trial=False),
    ],
    "ballot-answer": [
        BallotAnswer(term=7, trial=True, yes=False),
        BallotAnswer(term=8, trial=False, yes=True),
    ],
    "append": [
        Append(term=7, before=40, before_term=5, entries=ENTRIES, commit=39, round=12, heard=38),
        Append(term=7, before=42, before_term=7, entries=[], commit=41, round=13, heard=40),
    ],
    "append-answer": [
        AppendAnswer(term=7, yes=True, match=42, round=13),
        AppendAnswer(term=7, yes=False, match=17, round=14),
    ],
    "install": [Install(term=7, kept=KEPT, round=15)],
    "ask": [
        Ask(term=7, incarnation=2**40, asked=123456789, least=40, settled=38, drained=0, tell=None),
        Ask(term=7, incarnation=2**40, asked=123456790, least=41, settled=39, drained=37, tell=TELL),
    ],
    "grant": [Grant(term=7, asked=123456789, span=16000, need=41)],
    "follow": [
        Follow(
            name="f",
            incarnation=9,
            asked=5000000000,
            have=40,
            settled=36,
            carry={"all": 3, "grade:g": 2},
            tell=None,
        ),
        Follow(name="f", incarnation=9, asked=5000000001, have=41, settled=37, carry={}, tell=TELL),
    ],
    "news": [
        News(asked=5000000000, span=14000, before=40, kept=None, entries=ENTRIES, at=42, heard=38),
        News(asked=5000000001, span=0, before=41, kept=KEPT, entries=[], at=43, heard=39),
    ],
    "refused": [Refused(why="the folder is not the one by which n1 is known")],
    "publish": [
        Publish(
            call="c1",
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
        Published(call="c1", well=True, text="", number=3, index=44),
        Published(call="c2", well=False, text="made from version 1", number=2, index=45),
    ],
    "check": [Check(call="c3", doc="settings", text={"tick": 2000, "nested": [1, 2.5, None, "x"]})],
    "checked": [Checked(call="c3", fault="n1: settings.tick: found 1")],
    "goodbye": [Goodbye(name="f", incarnation=9)],
    "roster": [
        Roster(
            wards=[
                Warded(name="n0", incarnation=3, since=900, have=42, state="there", carry={"all": 1}),
                Warded(name="f", incarnation=9, since=70000, have=40, state="cut off", carry={}),
            ]
        )
    ],
}

# What a voter writes, in order: a folder that grew, and one that was compacted after the same.
GROWN = [
    Batch(
        term=1,
        vote="n0",
        founded=True,
        turned=True,
        first=1,
        entries=[
            Entry(term=1, kind="begin", data={"by": "n0", "folders": {"n0": "0123456789abcdef"}}),
            Entry(term=1, kind="folder", data={"voter": "n1", "folder": "f1"}),
        ],
    ),
    Batch(term=2, vote="", founded=True, turned=True),
    Batch(term=2, vote="n1", founded=True, turned=True),
    Batch(
        term=2,
        vote="n1",
        founded=True,
        first=2,
        entries=[
            Entry(term=2, kind="begin", data={"by": "n1"}),
            Entry(term=2, kind="voters", data={"voters": {"n0": "h0:7000", "n1": "h1:7000"}}),
        ],
    ),
]
COMPACTED = [
    *GROWN,
    Batch(
        term=2,
        vote="n1",
        founded=True,
        whole=Kept(index=2, term=2, voters={"n0": "h0:7000"}, state=b"whole"),
        first=3,
        entries=[Entry(term=2, kind="count", data={"doc": "limits", "number": 1})],
    ),
    Batch(
        term=3,
        vote="n0",
        founded=True,
        turned=True,
        first=4,
        entries=[Entry(term=3, kind="begin", data={"by": "n0"})],
    ),
]


def _publish(call: str, doc: str, made_from: int, text: dict[str, Any], at: int = 1_700_000_000_000) -> Entry:
    return Entry(
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


def _step(uid: str, step: str, work: str, last: int | None = None, call: str = "", **more: Any) -> Entry:
    told: dict[str, Any] = {
        "uid": uid,
        "step": step,
        "work": work,
        "by": "n0",
        "why": f"{step} {uid}",
        "at": 1_700_000_100_000,
        **more,
    }
    if last is not None:
        told["last"] = last
    return Entry(term=2, kind="step", data={"steps": [told], **({"call": call} if call else {})})


def _settings(effect: str, cutoff: int, dispatches: int) -> dict[str, Any]:
    return {
        "service-grades": [
            {
                "name": "g",
                "effect": effect,
                "cut-off": cutoff,
                "expected-time": 500_000,
                "group": "zone",
                "repeat-window": 1_000_000,
                "revenue": 1.5,
            }
        ],
        "allowed": {"most-dispatches": dispatches, "second-copies": True, "cancel": False},
    }


PLACE = ("north", "big", "c1", 2.0)
WORKS_1 = {"works": {"disks": {"why": "new disks", "zones": ["north"], "at-once": 4}}}
WORKS_2 = {"works": {**WORKS_1["works"], "bios": {"machines": ["r1"], "way": "list", "takes": 60.0}}}

# A history of all kinds of entries; from index 1 on.
HISTORY = [
    Entry(term=1, kind="begin", data={"by": "n0", "folders": {"n0": "f0", "n1": "f1"}}),
    Entry(term=1, kind="folder", data={"voter": "n2", "folder": "f2"}),
    _publish("begin", "settings", 0, _settings("safe", 5_000_000, 4)),
    Entry(term=1, kind="count", data={"doc": "settings", "number": 1}),
    _publish("c1", "settings", 1, _settings("keyed", 4_000_000, 3)),
    _publish("c2", "settings", 1, _settings("unsafe", 3_000_000, 2)),  # refused: 2 is there by now
    Entry(term=1, kind="voters", data={"voters": {"n0": "h0:7000", "n1": "h1:7000"}}),
    _publish("c3", "limits", 0, {"limits": {"all": 9, "grade:g": 4, "tenant:t": 0}}),
    Entry(term=1, kind="count", data={"doc": "limits", "number": 1}),
    _publish("c4", "deal", 0, {"shares": {"all": {"n0": 5, "n1": 4}, "grade:g": {"n0": 4, "n1": 0}}}),
    Entry(term=1, kind="count", data={"doc": "deal", "number": 1}),
    _publish("c5", "runners-out", 0, {"runners": {"r9": "smells"}}),
    Entry(term=1, kind="count", data={"doc": "runners-out", "number": 1}),
    _publish("c6", "runners-out", 1, {"runners": {"r8": "noise"}}),
    _publish("c7", "runners-never", 0, {"runners": {"r7": "stolen"}}),
    Entry(term=1, kind="count", data={"doc": "runners-never", "number": 1}),
    _publish("c8", "works", 0, WORKS_1),
    Entry(term=1, kind="count", data={"doc": "works", "number": 1}),
    _publish("c9", "works", 1, WORKS_2),
    Entry(term=1, kind="count", data={"doc": "works", "number": 2}),
    _step("r1", "out", "disks", made_from=0, plan=2, start=77, place=list(PLACE)),  # 21
    _step("r1", "free", "disks", 21),
    _step("r1", "work", "disks", 22, number=22, life=2**45),
    _step("r1", "ended", "disks", 23, number=22),
    _step("r1", "free", "bios", 24),  # another work's turn while it is out
    _step("r2", "out", "disks", made_from=1, plan=2, start=78, place=list(PLACE)),  # 26
    _step("r2", "back", "disks", 26),
    _step("r2", "well", "disks", 27),
    _step("r3", "out", "disks", made_from=4, plan=2, start=79, place=list(PLACE)),  # 29
    _step("r3", "free", "disks", 29),
    _step("r3", "unwell", "disks", 30),
    _step("r4", "out", "disks", made_from=0, plan=2),  # 32: void, decided before the last change
    _step("disks", "halt", "disks"),
    _step("r3", "back", "disks", 29, call="s1"),  # 34: void, decided before its last step
    _step("r3", "back", "disks", 31, call="s2"),
]

WORKS: dict[str, Given] = {
    "least": Given(),
    "disks": Given(
        why="new disks",
        of="runners",
        machines=["r1", "r2"],
        zones=["north"],
        kinds=["big"],
        cells=["1"],
        listed_before=1_700_000_000_000,
        at_once=4,
        a_zone=2,
        a_kind=3,
        a_cell=1,
        stays=0.8,
        stays_in_zone=0.25,
        not_before=1_700_000_000_001,
        not_after=1_700_000_000_002,
        after=["least"],
        alone=["restarts"],
        shares=False,
        way="command",
        command=["/usr/local/bin/swap-disk", "-f"],
        again=True,
        takes=900.5,
        not_back="go-on",
        watch=6.5,
        least_answers=7,
        well=0.75,
        most_unwell=3,
        shed_over=0.125,
        carries=12.5,
        state="hold",
        called=2,
    ),
    "restarts": Given(of="dispatchers", machines=["n0"], way="hand", not_back="give-up", state="stop"),
}

# The record of bans of the dispatcher "n0": out by hand, and back with a start taken for granted.
BANS: dict[str, Any] = {
    "of": "n0",
    "bans": {"a": 1234567, "gone": 2345678},
    "assumed": {"b": [3456789, 4567890]},
}
