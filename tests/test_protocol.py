"""The state machines, fed bytes: whole, in pieces and broken."""

from collections.abc import Sequence

from crankfold.config.parser import flatten_settings, parse_lines, read_routing_config, read_service_config
from crankfold.protocol import callbacks, load_reports
from crankfold.protocol.backend_connection import (
    BackendConnection,
    attempt_headers,
    classify_response,
)
from crankfold.protocol.client_connection import ClientConnection
from crankfold.protocol.client_request import ClientRequest
from crankfold.protocol.discovery import (
    DiscoveryConnection,
    DiscoveryEntry,
    DiscoveryError,
    decode_endpoints,
)
from crankfold.routing.interface import Endpoint, Outcome
from tests.scene import Kept

HEAD = b"POST /api?k=1 HTTP/1.1\r\nHost: b\r\nX-Request-ID: u1\r\nX-Priority-Class: g\r\nX-Timeout: 0.48\r\n"
UNIT = (
    HEAD
    + b"Idempotency-Key: t\r\nX-Cost: 12001\r\nX-Attrs: slots=2,memory=0.5\r\nContent-Length: 2\r\n\r\nhi"
)


class Door(Kept):
    """Stands where the desk does and writes down what reaches it."""

    @property
    def callbacks(self) -> "Door":
        return self

    def is_serving(self) -> bool:
        return True

    def knows_request_class(self, name: str) -> bool:
        return name == "g"

    def submit(self, client: object, submitted: ClientRequest) -> None:
        self.say(
            f"{submitted.request_id} {submitted.request_class} waits {submitted.timeout} "
            f"work {submitted.work} slots {submitted.slots:g}"
        )
        http = submitted.http
        self.say(
            f"  on goes {http.method.decode()} {http.target.decode()} {http.body.decode()} "
            + " ".join(f"{name.decode()}={value.decode()}" for name, value in http.headers)
        )

    def has_request(self, ident: str) -> bool:
        return ident != "elsewhere"

    def forward_unknown_callback(self, client: object, body: bytes) -> bool:
        self.say(f"passed on {body.decode()}")
        return True

    def execution_started(self, ident: str, uid: str) -> None:
        self.say(f"{ident} started on {uid}")

    def execution_progressed(self, ident: str, uid: str, share: float) -> None:
        self.say(f"{ident} on {uid}: {share:g} done")

    def execution_ended(
        self, ident: str, uid: str, outcome: Outcome, result: bytes, report: Sequence[float]
    ) -> None:
        self.say(f"{ident} on {uid}: {outcome.name.lower()} {result.decode()} {tuple(report)}")

    def side(self) -> ClientConnection:
        return ClientConnection(self, self, ("queue", "x0"))

    def wrote(self, side: ClientConnection) -> None:
        if side.outgoing:
            self.say("< " + b"".join(side.outgoing).decode().replace("\r\n", " "))
            side.outgoing.clear()

    def test_units_whole_in_pieces_and_pipelined(self) -> None:
        whole, pieces = self.side(), self.side()
        whole.receive_data(UNIT + UNIT.replace(b"u1", b"u2"))
        self.say("nothing of the second is read before the first is answered")
        whole.respond(200, [], b"done")
        whole.process_buffered()
        self.wrote(whole)
        for at in range(len(UNIT)):
            pieces.receive_data(UNIT[at : at + 1])
        pieces.close_after_response = True
        pieces.respond(503, [(b"Retry-After", b"0.500")])
        self.wrote(pieces)
        self.say(f"closing {pieces.closing}")
        chunked, waiting = self.side(), self.side()
        chunked.receive_data(
            HEAD + b"Transfer-Encoding: chunked\r\nX-Odd: \x80\r\nX-Own: 1\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
        )
        waiting.receive_data(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        self.wrote(waiting)
        waiting.receive_data(b"hi")
        old = self.side()
        old.receive_data(UNIT.replace(b"HTTP/1.1\r\nHost: b", b"HTTP/1.0"))
        old.respond(200)
        self.wrote(old)
        self.close("units")

    def test_cut_at_every_byte_it_means_the_same(self) -> None:
        back = b'{"id":"u1","from":"a","state":"done","result":"r","load":{"queue":1,"x0":2}}'
        odd = b"GET /control/ready HTTP/1.1\r\nHost: b\r\n\r\n"
        for what in (
            UNIT,
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\nX: y\r\n\r\n",
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n" % len(back) + back,
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: 30\r\n\r\n" + back[:30],
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: 18\r\n\r\n" + b'{"id":"elsewhere"}',
            UNIT.replace(b"Class: g", b"Class: h") + UNIT,
            odd,
        ):
            seen = []
            for cut in range(1, len(what)):
                side, self.lines = self.side(), []
                side.receive_data(what[:cut])
                side.receive_data(what[cut:])
                self.wrote(side)
                seen.append([*self.lines, f"in hand {side.awaiting_response}, closing {side.closing}"])
            self.assertEqual([one for one in seen if one != seen[0]], [])
            self.assertGreater(len(seen[0]), 1)

    def test_what_is_not_understood_reaches_no_runner_and_is_never_a_shed(self) -> None:
        chunks = b"Transfer-Encoding: chunked\r\n\r\n"
        for name, data in {
            "garbage": b"\x00\x01\r\n\r\n",
            "two lengths": HEAD + b"Content-Length: 2\r\n" + chunks,
            "lengths that differ": HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
            "broken chunk": HEAD + chunks + b"zz\r\n",
            "large head": HEAD + b"X: " + b"a" * 20_000,
            "large body": HEAD + b"Content-Length: 70000\r\n\r\n",
            "large chunks": HEAD + chunks + b"11000\r\n" + b"a" * 0x11000 + b"\r\n",
            "no time-out": UNIT.replace(b"X-Timeout: 0.48\r\n", b""),
            "no id": UNIT.replace(b"X-Request-ID: u1\r\n", b""),
            "time-out nan": UNIT.replace(b"0.48", b"nan"),
            "time-out negative": UNIT.replace(b"0.48", b"-1"),
            "time-out absurd": UNIT.replace(b"0.48", b"1e9"),
            "time-out 1_0": UNIT.replace(b"0.48", b"1_0"),
            "grade": UNIT.replace(b"Class: g", b"Class: h"),
            "cost": UNIT.replace(b"12001", b"much"),
            "attributes": UNIT.replace(b"slots=2", b"slots=x"),
            "attribute without value": UNIT.replace(b"=0.5", b""),
            "two ids": UNIT.replace(b"X-Cost", b"X-Request-ID: u3\r\nX-Cost"),
            "id too long": UNIT.replace(b"u1", b"u" * 300),
            "id no text": UNIT.replace(b"u1", b"\xff\xfe"),
            "path": UNIT.replace(b"/api", b"/apis"),
            "method": UNIT.replace(b"POST", b"PUT"),
            "method on health": b"POST /healthz HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n",
            "method on call-backs": b"GET /v1/job-events HTTP/1.1\r\nHost: b\r\n\r\n",
            "health": b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n",
            "health, head": b"HEAD /healthz HTTP/1.1\r\nHost: b\r\n\r\n",
        }.items():
            side = self.side()
            side.receive_data(data)
            first = b"".join(side.outgoing).partition(b"\r\n")[0].decode()
            self.say(f"{name}: {first}{', closing' if side.closing else ''}")
        self.close("bad-requests")

    def test_call_backs(self) -> None:
        for body in (
            b'{"id":"u1","from":"a","state":"started"}',
            b'{"id":"u1","from":"a","state":"running","share":0.4}',
            b'{"id":"u1","from":"a","state":"running","share":7}',
            b'{"id":"u1","from":"a","state":"done","result":"gr\\u00fc\\u00df","load":{"x0":2,"queue":1}}',
            b'{"id":"u1","from":"a","state":"done","result":{"n":1}}',
            b'{"id":"u1","from":"a","state":"failed","load":{"queue":1}}',
            b'{"id":"u1","from":"a","state":"returned","load":{"queue":"1","x0":2}}',
            b'{"id":"u1","from":"a","state":"lost","load":7}',
            b'{"id":"u1","from":"a","state":"odd"}',
            b'{"id":1,"from":"a","state":"done"}',
            b'{"id":"u1","state":"done"}',
            b"[]",
            b"{",
            b"\xff",
            b'{"id":"u1","from":"a","state":"running","share":true}',
            b"[" * 60_000,
        ):
            self.say(
                f"{callbacks.handle_callback(body, self, ('queue', 'x0'))}: {body[:80].decode('latin-1')}"
            )
        side = self.side()
        for body in (b'{"id":"u1","from":"a","state":"lost"}', b"{}"):
            side.receive_data(
                b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            )
            self.wrote(side)
        self.close("call-backs")

    def test_what_a_runner_answers(self) -> None:
        heads = attempt_headers([(b"host", b"b"), (b"x-request-id", b"u1")], 4807)
        for answer in (
            b"202 Accepted\r\nContent-Length: 0\r\n\r\n",
            b"500 No\r\nContent-Length: 2\r\n\r\nno",
            b"503 No\r\nX-Not-Processed: 1\r\nX-Server-Load: TEXT queue=3, x0=0\r\nContent-Length: 0\r\n\r\n",
            b"504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
            b"503 No\r\nContent-Length: 0\r\n\r\n",
            b"429 No\r\nContent-Length: 0\r\n\r\n",
            b"400 No\r\nContent-Length: 0\r\n\r\n",
            b"200 Odd\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            b"500 No\r\n\r\n" + b"endless" * 10_000,
            b"garbage\x00\r\n\r\n",
            b"202 Accepted\r\nContent-Length: -1\r\n\r\n",
            b"100 Go on\r\n\r\nHTTP/1.1 202 A\r\nContent-Length: 0\r\n\r\n",
        ):
            for step in (len(answer) + 9, 1):
                side = BackendConnection()
                asked = side.send_request(b"POST", b"/api", heads, b"hi")
                data = b"HTTP/1.1 " + answer
                over = any(side.receive_data(data[at : at + step]) for at in range(0, len(data), step))
                ended = classify_response(side.status, side.not_processed)
                outcome = ended.name.lower()
                told = (
                    f"{answer[:60]!r}: {outcome}, over {over}"
                    f", again {side.reusable}, "
                    f"{load_reports.report_from_header(side.load_header, ('queue', 'x0'))}"
                )
                if step > 1:
                    self.say(told)
                self.assertEqual(told, self.lines[-1])  # in pieces it means the same
        self.say(b"".join(asked).decode().replace("\r\n", " "))
        for text in (
            b"TEXT queue=1, x0=2",
            b"TEXT queue=1",
            b"JSON queue=1, x0=2",
            b"TEXT queue=x, x0=2",
            b"",
            b"TEXT queue=nan, x0=1",
        ):
            self.say(f"{text.decode()!r}: {load_reports.report_from_header(text, ('queue', 'x0'))}")
        self.close("answers")

    def make_endpoint(self, entry: DiscoveryEntry) -> Endpoint:
        self.say(
            f"  {entry.backend_id} {entry.host} {entry.port} {entry.zone} {entry.instance_type} {entry.cell} "
            f"{entry.state.name.lower()} {entry.weight:g} {entry.boot_ms}"
        )
        return Endpoint(0, entry.state, entry.weight, 0, entry.cell, entry.boot_ms)

    def test_lists_from_discovery(self) -> None:
        one = (
            b'{"uid":"a","endpoint":"10.0.0.1:84","az":"n","model":"m","pod_group":3,"state":"in_service",'
            b'"capacity_hint":1.5,"boot_ms":7}'
        )
        for entries in (
            one,
            one.replace(b"in_service", b"terminating"),
            b'{"uid":"a","endpoint":"10.0.0.1:84","state":"terminated"}',
            b"",
            one.replace(b"in_service", b"odd"),
            one.replace(b":84", b""),
            one.replace(b'"a"', b"1"),
            one.replace(b"1.5", b'"x"'),
            b"7",
            one + b"," + one.replace(b'"state"', b'"stat"'),
        ):
            for whole in (b"true", b"false"):
                self.read(b'{"rev":4,"all":' + whole + b',"targets":[' + entries + b"]}")
        for broken in (
            b"{",
            b"[]",
            b"null",
            b'{"rev":"4","all":true,"targets":[]}',
            b'{"rev":4,"targets":[]}',
        ):
            self.read(broken)
        side = DiscoveryConnection("10.0.0.9:85")
        self.say(side.request(-1, 4000).decode().replace("\r\n", " "))
        body = b'{"rev":4,"all":true,"targets":[' + one + b"]}"
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        self.assertEqual(
            [side.receive_data(data[at : at + 1]) for at in range(len(data))].index(True), len(data) - 1
        )
        side.decode_response(self.make_endpoint)
        self.say(side.request(4, 4000).decode().replace("\r\n", " "))
        side.receive_data(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        with self.assertRaises(DiscoveryError):
            side.decode_response(self.make_endpoint)
        self.close("lists")

    def read(self, body: bytes) -> None:
        try:
            rev, whole, entries = decode_endpoints(body, self.make_endpoint)
            self.say(f"version {rev}, {'whole' if whole else 'changes'}, {len(entries)}")
        except DiscoveryError as wrong:
            self.say(f"{body.decode()}: old list stands, {str(wrong).partition(':')[0]}")

    def test_settings_mean_the_same_in_both_forms(self) -> None:
        nested = {
            "allowed": {"cancel": True, "conn-idle": 10000000, "second-copies": False, "most-dispatches": 5},
            "zones": ["north side", "south"],
            "kinds": [],
            "report": {"names": ["queue", "x0"], "via": "inline"},
            "service-grades": [
                {"name": "a", "effect": "safe", "cut-off": 5000049, "expected-time": 80000},
                {"name": "b", "effect": "keyed", "group": "zone", "cut-off": 12000000},
            ],
            "specifics": {"class-stretch": [2.0, 1.75], "report-x0": "free slots"},
            "tick": 2000,
            "odd": None,
        }
        lines = (
            "allowed.cancel=true\nallowed.conn-idle=10000000\nallowed.second-copies=false\n"
            "allowed.most-dispatches=5\nzones=north_side,south\nkinds=\nreport.names=queue,x0\n"
            "report.via=inline\nservice-grades.count=2\nservice-grades.0.name=a\nservice-grades.0.effect=safe\n"
            "service-grades.0.cut-off=5000049\nservice-grades.0.expected-time=80000\nservice-grades.1.name=b\n"
            "service-grades.1.effect=keyed\nservice-grades.1.group=zone\nservice-grades.1.cut-off=12000000\n"
            "specifics.class-stretch=2.0,1.75\nspecifics.report-x0=free_slots\ntick=2000\nodd=\n"
        )
        self.assertEqual(flatten_settings(nested), parse_lines(lines))
        orders = read_routing_config(flatten_settings(nested))
        self.assertEqual(orders, read_routing_config(parse_lines(lines)))
        self.assertEqual(
            (orders.report_fields, orders.request_classes[0].deadline), (["queue", "free_slots"], 50000)
        )
        rules = read_service_config(flatten_settings(nested))
        self.assertEqual(
            (rules.request_classes.find("b"), rules.request_classes.find("c"), rules.longest_deadline),
            (1, -1, 120000),
        )
