"""Output and exit codes of `settings`, `fleet` and `maintenance`, with a fake admin server."""

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
DOCUMENT = {
    "doc": "settings",
    "counts": 1,
    "newest": 2,
    "acts": True,
    "acting": {"a": 1},
    "versions": VERSIONS,
}
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
        # The status and the body of the response, by path.
        self.responses: dict[str, tuple[int, Any]] = {}
        responses = self.responses

        class FakeAdminRequestHandler(BaseHTTPRequestHandler):
            def respond(self) -> None:
                status, content = responses.get(self.path.split("?")[0], (404, "nothing"))
                body = json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = respond  # noqa: N815 - http.server looks for these names

            def log_message(self, *_arguments: object) -> None: ...

        self.admin_server = ThreadingHTTPServer(("127.0.0.1", 0), FakeAdminRequestHandler)
        threading.Thread(target=self.admin_server.serve_forever, daemon=True).start()
        self.addCleanup(self.admin_server.server_close)
        self.addCleanup(self.admin_server.shutdown)

    def run_command(self, *arguments: str, standard_input: str = "{}") -> None:
        address = f"127.0.0.1:{self.admin_server.server_address[1]}"
        option_index = 1 if arguments[0] == "fleet" else 2
        result = CliRunner().invoke(
            main,
            [*arguments[:option_index], "--door", address, *arguments[option_index:]],
            input=standard_input,
        )
        output = re.sub("--call [0-9a-f]+", "--call ...", result.output).replace(address, "DOOR")
        self.record(f"{' '.join(arguments)}: exit {result.exit_code}")
        self.lines += ["    " + line for line in output.splitlines()]

    def test_settings_and_fleet_commands_print_results_and_exit_codes(self) -> None:
        publish = ("settings", "publish", "-", "--from", "1", "--reason", "r")
        self.responses["/control/agreed/settings"] = 200, DOCUMENT
        self.responses["/control/fleet"] = 200, FLEET
        for arguments in (
            ("fleet",),
            ("settings", "show"),
            ("settings", "show", "--version", "7"),
            ("settings", "history"),
            ("settings", "diff", "1", "2"),
            ("settings", "diff", "1", "9"),
        ):
            self.run_command(*arguments)
        self.responses["/control/fleet"] = (
            200,
            {**FLEET, "acts": False, "why-not": "cut off from the majority"},
        )
        self.run_command("fleet")
        accepted = {"well": True, "text": "", "number": 3}
        for status, content in (
            (200, accepted),
            (200, {**accepted, "counts": False, "lag": []}),
            (200, {**accepted, "counts": True, "lag": ["f: there"]}),
            (409, {"well": False, "text": "n1: settings.a: found 1", "number": 0}),
            (504, {"well": False, "text": "no outcome yet", "number": 0}),
        ):
            self.responses["/control/agreed/settings"] = status, content
            self.run_command(*publish, "--wait", "1")
        self.run_command(*publish, standard_input="{")
        self.responses["/control/agreed/voters"] = 200, {**accepted, "voters": {"n0": "", "n1": ""}}
        self.run_command("fleet", "voters", "--remove", "n2")
        self.run_command("fleet", "voters")
        self.responses.clear()
        self.run_command("fleet")
        self.assert_matches_trace("commands")

    def test_maintenance_commands_print_results_and_exit_codes(self) -> None:
        self.run_maintenance_commands("works")
        self.assert_matches_trace("commands-works")

    def test_former_group_name_works_behaves_like_maintenance(self) -> None:
        self.run_maintenance_commands("works")
        works_output, self.lines = self.lines, []
        self.responses.clear()
        self.run_maintenance_commands("maintenance")
        self.assertGreater(len(works_output), 30)
        self.assertEqual([re.sub(r"\bmaintenance\b", "works", line) for line in self.lines], works_output)
        self.lines = []  # they were compared above; no trace records them

    def test_help_lists_maintenance_instead_of_works(self) -> None:
        result = CliRunner().invoke(main, ["--help"])
        self.assertEqual(result.exit_code, 0)
        commands = [line.split()[0] for line in result.output.partition("Commands:")[2].splitlines() if line]
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
            result = CliRunner().invoke(main, [name, "--help"])
            self.assertEqual(result.exit_code, 0)
            subcommands[name] = [
                line.split()[0] for line in result.output.partition("Commands:")[2].splitlines() if line
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

    def test_check_prints_summary_of_configuration(self) -> None:
        example = Path(__file__).parents[2] / "examples" / "config.json"
        result = CliRunner().invoke(main, ["check", "--config", str(example)])
        self.assertEqual(result.exit_code, 0)
        for line in result.output.splitlines():
            self.record(line)
        self.assert_matches_trace("commands-check")

    def run_maintenance_commands(self, group: str) -> None:
        job_file = 'name = "disks"\nat-once = 2\n'
        jobs_document = {"works": {"disks": {"at-once": 2}}}
        self.responses["/control/agreed/works"] = (
            200,
            {**DOCUMENT, "newest": 0, "versions": [], "well": True, "number": 1},
        )
        departures = [
            {"begin": 0.0, "end": 73.0, "machine": "m1", "zone": "z0", "why": ""},
            {"begin": 73.0, "end": 146.0, "machine": "m2", "zone": "z1", "why": "1 of 1 at once"},
        ]
        self.responses["/control/agreed/plan"] = (
            200,
            {"well": True, "turns": departures, "waits": {"m3": "1 of 1 in its zone"}},
        )
        self.run_command(group, "plan", "-", standard_input=job_file)
        self.run_command(group, "start", "-", standard_input=job_file)
        self.run_command(group, "start", "-", standard_input="at-once = 2")
        self.responses["/control/agreed/works"] = (
            200,
            {**DOCUMENT, "well": True, "number": 3, "versions": [{**VERSIONS[1], "text": jobs_document}]},
        )
        for command, name in (("start", "-"), ("hold", "disks"), ("go", "racks")):
            self.run_command(group, command, name, standard_input=job_file)
        machine = {"work": "disks", "state": "free", "number": 12, "why": ""}
        step = {"index": 9, "uid": "m1", "work": "disks", "step": "out", "by": "n0", "why": "", "at": 1000}
        self.responses["/control/agreed/machines"] = (
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
                "machines": {"m1": machine},
                "steps": [step, {**step, "index": 12, "step": "free", "at": 3500}],
                "waits": [{"machine": "m2", "work": "disks", "why": "1 of 1 at once"}],
                "leads": True,
                "leader": "n0",
                "here": [],
                "well": True,
                "text": "",
            },
        )
        for command_line in (
            "list",
            "show disks",
            "show racks",
            "history m1",
            "history m7",
            "begin m1 --number 12",
            "done m1",
        ):
            self.run_command(group, *command_line.split())
        self.responses["/control/agreed/machines"] = 409, {"well": False, "text": "m1: told under number 9"}
        self.run_command(group, "done", "m1", "--number", "9")
        self.responses["/control/agreed/machines"] = 504, {"well": False, "text": "no outcome yet"}
        self.run_command(group, "back", "m1")
