"""A toy deployment for trying crankfold by hand: discovery and two backends in one process, on loopback.

    python examples/toy_server.py

Backends accept each request with a 202, work for a moment, and report the outcome by a callback. A request
whose body is `fail` fails; one whose body is `hang` never ends.
"""

import http.client
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
DISPATCHER = (HOST, 8080)
DISCOVERY = (HOST, 8500)
BACKENDS = {"s-one": (HOST, 9001), "s-two": (HOST, 9002)}
SLOTS = 2  # requests that a backend works on at once
WORK_SECONDS = 0.2
LONG_POLL_SECONDS = 3


class Discovery(BaseHTTPRequestHandler):
    """Serves the list of backends, which never changes; a watch waits and is answered without a change."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answers `/v1/servers` with all backends, or without a change if the call has a revision."""
        is_watch = "after=1" in self.path
        if is_watch:
            time.sleep(LONG_POLL_SECONDS)
        targets = [
            {
                "uid": backend_id,
                "endpoint": f"{host}:{port}",
                "az": "here",
                "model": "toy",
                "pod_group": 0,
                "state": "in_service",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for backend_id, (host, port) in BACKENDS.items()
        ]
        document = {"rev": 1, "all": not is_watch, "targets": [] if is_watch else targets}
        body = json.dumps(document).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Backend(BaseHTTPRequestHandler):
    """A backend; a subclass for each has its id and its slots."""

    protocol_version = "HTTP/1.1"
    backend_id = ""
    slots = threading.Semaphore(SLOTS)

    def do_POST(self) -> None:
        """Accepts a request, and executes it after the response."""
        body = self.rfile.read(int(self.headers["Content-Length"])).decode()
        request_id = self.headers["X-Request-ID"]
        threading.Thread(target=self.work, args=(request_id, body), daemon=True).start()
        self.respond(202)

    def do_GET(self) -> None:
        """Answers health checks, and probes with a load report."""
        report = "TEXT queue=0, x0=2" if self.path == "/load" else ""
        self.respond(200 if self.path in ("/load", "/healthz") else 404, report)

    def do_DELETE(self) -> None:
        """Accepts the cancellation of a request, which goes on nevertheless."""
        self.respond(200)

    def respond(self, status: int, text: str = "") -> None:
        """Writes a whole response."""
        self.send_response(status)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text.encode())

    def work(self, request_id: str, body: str) -> None:
        """Executes a request and calls back at its start and at its end."""
        with self.slots:
            self.call_back(id=request_id, state="started")
            time.sleep(WORK_SECONDS)
            if body == "fail":
                self.call_back(id=request_id, state="failed")
            elif body != "hang":
                result = f"{self.backend_id} did {body!r}\n"
                self.call_back(id=request_id, state="done", result=result, load={"queue": 0, "x0": SLOTS})

    def call_back(self, **event: object) -> None:
        """Sends the dispatcher a callback about a request."""
        connection = http.client.HTTPConnection(*DISPATCHER, timeout=2)
        connection.request("POST", "/v1/job-events", json.dumps({"from": self.backend_id, **event}))
        connection.getresponse().read()
        connection.close()


def backend_class(backend_id: str) -> type[Backend]:
    """The class of one backend, with slots of its own."""
    return type(backend_id, (Backend,), {"backend_id": backend_id, "slots": threading.Semaphore(SLOTS)})


def main() -> None:
    """Serves until it is interrupted."""
    servers = [ThreadingHTTPServer(DISCOVERY, Discovery)]
    servers += [
        ThreadingHTTPServer(address, backend_class(backend_id)) for backend_id, address in BACKENDS.items()
    ]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print(
        f"discovery on {DISCOVERY[0]}:{DISCOVERY[1]}, backends on "
        + " and ".join(f"{host}:{port}" for host, port in BACKENDS.values())
        + "; Ctrl-C ends"
    )
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        print("ended")


if __name__ == "__main__":
    main()
