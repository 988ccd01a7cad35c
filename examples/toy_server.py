"""A toy deployment for trying crankfold by hand: discovery and two runners in one process, on loopback.

    python examples/toy_server.py

Runners take each unit with a 202, work for a moment, and tell the dispatcher by call-back. A unit whose body
is `fail` fails, one whose body is `hang` never ends.
"""

import http.client
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
DISPATCHER = (HOST, 8080)
DISCOVERY = (HOST, 8500)
RUNNERS = {"s-one": (HOST, 9001), "s-two": (HOST, 9002)}
SLOTS = 2
WORK_SECONDS = 0.2


class Discovery(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        after = "after=1" in self.path
        if after:
            time.sleep(3)  # a watch waits; nothing ever changes here
        targets = [
            {
                "uid": uid,
                "endpoint": f"{host}:{port}",
                "az": "here",
                "model": "toy",
                "pod_group": 0,
                "state": "in_service",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for uid, (host, port) in RUNNERS.items()
        ]
        body = json.dumps({"rev": 1, "all": not after, "targets": [] if after else targets}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def runner(uid: str) -> type[BaseHTTPRequestHandler]:
    slots = threading.Semaphore(SLOTS)

    def tell(**told: object) -> None:
        connection = http.client.HTTPConnection(*DISPATCHER, timeout=2)
        connection.request("POST", "/v1/job-events", json.dumps({"from": uid, **told}))
        connection.getresponse().read()
        connection.close()

    def work(ident: str, body: str) -> None:
        with slots:
            tell(id=ident, state="started")
            time.sleep(WORK_SECONDS)
            if body == "hang":
                return
            if body == "fail":
                tell(id=ident, state="failed")
            else:
                tell(id=ident, state="done", result=f"{uid} did {body!r}\n", load={"queue": 0, "x0": SLOTS})

    class Runner(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers["Content-Length"])).decode()
            threading.Thread(target=work, args=(self.headers["X-Request-ID"], body), daemon=True).start()
            self.answer(202)

        def do_GET(self) -> None:
            report = "TEXT queue=0, x0=2" if self.path == "/load" else ""
            self.answer(200 if self.path in ("/load", "/healthz") else 404, report)

        def do_DELETE(self) -> None:
            self.answer(200)

        def answer(self, status: int, text: str = "") -> None:
            self.send_response(status)
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text.encode())

    return Runner


def main() -> None:
    servers = [ThreadingHTTPServer(DISCOVERY, Discovery)]
    servers += [ThreadingHTTPServer(at, runner(uid)) for uid, at in RUNNERS.items()]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print(
        f"discovery on {DISCOVERY[0]}:{DISCOVERY[1]}, runners on "
        + " and ".join(f"{host}:{port}" for host, port in RUNNERS.values())
        + "; Ctrl-C ends"
    )
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        print("ended")


if __name__ == "__main__":
    main()
