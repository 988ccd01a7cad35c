"""Serves a toy deployment for trying out crankfold: discovery and two backends in one process, on loopback.

    python examples/toy_server.py

Backends accept each request with a 202, execute it for a moment, and send its outcome in a callback. A
request whose body is `fail` fails; one whose body is `hang` never completes.
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
SLOTS = 2  # requests that a backend executes at the same time
EXECUTION_SECONDS = 0.2
LONG_POLL_SECONDS = 3


class Discovery(BaseHTTPRequestHandler):
    """Serves the endpoint list, which never changes; a poll for changes waits and is answered without one."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answers with all backends, or after a wait without a change if the poll names revision 1."""
        is_poll = "after=1" in self.path
        if is_poll:
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
        document = {"rev": 1, "all": not is_poll, "targets": [] if is_poll else targets}
        body = json.dumps(document).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Backend(BaseHTTPRequestHandler):
    """Serves one backend; each backend is a subclass with its own id and slots."""

    protocol_version = "HTTP/1.1"
    backend_id = ""
    slots = threading.Semaphore(SLOTS)

    def do_POST(self) -> None:
        """Accepts a request and executes it in another thread."""
        body = self.rfile.read(int(self.headers["Content-Length"])).decode()
        request_id = self.headers["X-Request-ID"]
        threading.Thread(target=self.execute_request, args=(request_id, body), daemon=True).start()
        self.respond(202)

    def do_GET(self) -> None:
        """Answers health checks with an empty body, and probes with a load report."""
        report = "TEXT queue=0, x0=2" if self.path == "/load" else ""
        self.respond(200 if self.path in ("/load", "/healthz") else 404, report)

    def do_DELETE(self) -> None:
        """Accepts the cancellation of a request but still executes it."""
        self.respond(200)

    def respond(self, status: int, text: str = "") -> None:
        """Sends a complete response."""
        self.send_response(status)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text.encode())

    def execute_request(self, request_id: str, body: str) -> None:
        """Executes a request and sends a callback when it starts and when it ends."""
        with self.slots:
            self.call_back(id=request_id, state="started")
            time.sleep(EXECUTION_SECONDS)
            if body == "fail":
                self.call_back(id=request_id, state="failed")
            elif body != "hang":
                result = f"{self.backend_id} did {body!r}\n"
                self.call_back(id=request_id, state="done", result=result, load={"queue": 0, "x0": SLOTS})

    def call_back(self, **event: object) -> None:
        """Sends a callback with these fields to the dispatcher."""
        connection = http.client.HTTPConnection(*DISPATCHER, timeout=2)
        connection.request("POST", "/v1/job-events", json.dumps({"from": self.backend_id, **event}))
        connection.getresponse().read()
        connection.close()


def backend_class(backend_id: str) -> type[Backend]:
    """Returns a handler class for one backend, with its own slots."""
    return type(backend_id, (Backend,), {"backend_id": backend_id, "slots": threading.Semaphore(SLOTS)})


def main() -> None:
    """Serves until interrupted by Ctrl-C."""
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
