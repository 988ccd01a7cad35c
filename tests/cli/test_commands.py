"""What `settings`, `fleet` and `maintenance` say and how they exit, against a played admin server."""

import json
import re
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from crankfold.cli.main import main
from tests.fixtures import TraceTestCase

VERSIONS = [
    {"number": n, "made_from": n - 1, "author": "o", "reason": f"why {n}", "text": {"a": n}} for n in (1, 2)
]
SHOWN = {"doc": "settings", "counts": 1, "newest": 2, "acts": True, "acting": {"a": 1}, "versions": VERSIONS}
FLEET = {
    "name": "n0",
    "acts": True,
    "why-not": "",
    "lease-ms": 1500,
    "leader": "n1",
    "term": 3,
    "versions": {"settings": {"counts": 1, "newest": 2}},
    "voters": {"n0": "x:1"},
    "members": [
        {
            "name": "f",
            "state": "cut off",
            "heard-ms-ago": 2300,
            "for-s": 9,
            "lag": 1,
            "incarnation": 255,
            "at": "n0",
        }
    ],
}


class CommandsTest(TraceTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.answers: dict[str, tuple[int, Any]] = {}
        answers = self.answers

        class AdminServerStandIn(BaseHTTPRequestHandler):
            def respond(self) -> None:
                status, answer = answers.get(self.path.split("?")[0], (404, "nothing"))
                body = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = respond  # noqa: N815 - http.server looks for these names

            def log_message(self, *_arguments: object) -> None: ...

        self.admin_server = ThreadingHTTPServer(("127.0.0.1", 0), AdminServerStandIn)
        threading.Thread(target=self.admin_server.serve_forever, daemon=True).start()
        self.addCleanup(self.admin_server.server_close)
        self.addCleanup(self.admin_server.shutdown)

    def run_command(self, *arguments: str, text: str = "{}") -> None:
        address = f"127.0.0.1:{self.admin_server.server_address[1]}"
        at = 1 if arguments[0] == "fleet" else 2
        result = CliRunner().invoke(main, [*arguments[:at], "--door", address, *arguments[at:]], input=text)
        shown = re.sub("--call [0-9a-f]+", "--call ...", result.output).replace(address, "DOOR")
        self.record(f"{' '.join(arguments)}: exit {result.exit_code}")
        self.lines += ["    " + line for line in shown.splitlines()]

    def test_what_commands_print_and_how_they_exit(self) -> None:
        publish = ("settings", "publish", "-", "--from", "1", "--reason", "r")
        self.answers["/control/agreed/settings"] = 200, SHOWN
        self.answers["/control/fleet"] = 200, FLEET
        for arguments in (
            ("fleet",),
            ("settings", "show"),
            ("settings", "show", "--version", "7"),
            ("settings", "history"),
            ("settings", "diff", "1", "2"),
            ("settings", "diff", "1", "9"),
        ):
            self.run_command(*arguments)
        self.answers["/control/fleet"] = 200, {**FLEET, "acts": False, "why-not": "cut off from the majority"}
        self.run_command("fleet")
        accepted = {"well": True, "text": "", "number": 3}
        for status, answer in (
            (200, accepted),
            (200, {**accepted, "counts": False, "lag": []}),
            (200, {**accepted, "counts": True, "lag": ["f: there"]}),
            (409, {"well": False, "text": "n1: settings.a: found 1", "number": 0}),
            (504, {"well": False, "text": "no outcome yet", "number": 0}),
        ):
            self.answers["/control/agreed/settings"] = status, answer
            self.run_command(*publish, "--wait", "1")
        self.run_command(*publish, text="{")
        self.answers["/control/agreed/voters"] = 200, {**accepted, "voters": {"n0": "", "n1": ""}}
        self.run_command("fleet", "voters", "--remove", "n2")
        self.run_command("fleet", "voters")
        self.answers.clear()
        self.run_command("fleet")
        self.assert_matches_trace("commands")

    def test_every_maintenance_command_prints_and_exits_as_before(self) -> None:
        self.use_every_maintenance_command("works")
        self.assert_matches_trace("commands-works")

    def test_maintenance_is_the_standard_name_of_works(self) -> None:
        self.use_every_maintenance_command("works")
        former, self.lines = self.lines, []
        self.answers.clear()
        self.use_every_maintenance_command("maintenance")
        self.assertGreater(len(former), 30)
        self.assertEqual([re.sub(r"\bmaintenance\b", "works", line) for line in self.lines], former)
        self.lines = []  # compared above; nothing is left for a trace

    def test_help_names_maintenance_and_not_works(self) -> None:
        shown = CliRunner().invoke(main, ["--help"])
        self.assertEqual(shown.exit_code, 0)
        commands = [line.split()[0] for line in shown.output.partition("Commands:")[2].splitlines() if line]
        self.assertEqual(
            commands,
            [
                "check",
                "emulate",
                "experiment",
                "fleet",
                "maintenance",
                "serve",
                "settings",
                "trial",
                "version",
            ],
        )
        subcommands = {}
        for name in ("maintenance", "works"):
            shown = CliRunner().invoke(main, [name, "--help"])
            self.assertEqual(shown.exit_code, 0)
            subcommands[name] = [
                line.split()[0] for line in shown.output.partition("Commands:")[2].splitlines() if line
            ]
        self.assertEqual(subcommands["maintenance"], subcommands["works"])
        self.assertEqual(
            sorted(subcommands["maintenance"]),
            sorted(
                [
                    "plan",
                    "start",
                    "list",
                    "show",
                    "history",
                    "hold",
                    "go",
                    "stop",
                    "forget",
                    "begin",
                    "done",
                    "unwell",
                    "back",
                    "here",
                ]
            ),
        )

    def test_check_prints_what_follows_from_a_configuration(self) -> None:
        example = Path(__file__).parents[2] / "examples" / "config.json"
        shown = CliRunner().invoke(main, ["check", "--config", str(example)])
        self.assertEqual(shown.exit_code, 0)
        for line in shown.output.splitlines():
            self.record(line)
        self.assert_matches_trace("commands-check")

    def use_every_maintenance_command(self, group: str) -> None:
        work = 'name = "disks"\nat-once = 2\n'
        text = {"works": {"disks": {"at-once": 2}}}
        self.answers["/control/agreed/works"] = (
            200,
            {**SHOWN, "newest": 0, "versions": [], "well": True, "number": 1},
        )
        forecast = [
            {"begin": 0.0, "end": 73.0, "machine": "m1", "zone": "z0", "why": ""},
            {"begin": 73.0, "end": 146.0, "machine": "m2", "zone": "z1", "why": "1 of 1 at once"},
        ]
        self.answers["/control/agreed/plan"] = (
            200,
            {"well": True, "turns": forecast, "waits": {"m3": "1 of 1 in its zone"}},
        )
        self.run_command(group, "plan", "-", text=work)
        self.run_command(group, "start", "-", text=work)
        self.run_command(group, "start", "-", text="at-once = 2")
        self.answers["/control/agreed/works"] = (
            200,
            {**SHOWN, "well": True, "number": 3, "versions": [{**VERSIONS[1], "text": text}]},
        )
        for command, name in (("start", "-"), ("hold", "disks"), ("go", "racks")):
            self.run_command(group, command, name, text=work)
        away = {"work": "disks", "state": "free", "number": 12, "why": ""}
        step = {"index": 9, "uid": "m1", "work": "disks", "step": "out", "by": "n0", "why": "", "at": 1000}
        self.answers["/control/agreed/machines"] = (
            200,
            {
                "works": {
                    "disks": {
                        "why": "new disks",
                        "state": "go",
                        "halted": "",
                        "wanted": 4,
                        "done": {"m0": "well"},
                        "left": ["m2", "m3"],
                    }
                },
                "machines": {"m1": away},
                "steps": [step, {**step, "index": 12, "step": "free", "at": 3500}],
                "waits": [{"machine": "m2", "work": "disks", "why": "1 of 1 at once"}],
                "leads": True,
                "leader": "n0",
                "here": [],
                "well": True,
                "text": "",
            },
        )
        for line in (
            "list",
            "show disks",
            "show racks",
            "history m1",
            "history m7",
            "begin m1 --number 12",
            "done m1",
        ):
            self.run_command(group, *line.split())
        self.answers["/control/agreed/machines"] = 409, {"well": False, "text": "m1: told under number 9"}
        self.run_command(group, "done", "m1", "--number", "9")
        self.answers["/control/agreed/machines"] = 504, {"well": False, "text": "no outcome yet"}
        self.run_command(group, "back", "m1")
