"""A minimal server for trying out thymedeck: accepts sessions, reports a random load and echoes every line.

python examples/toy_server.py NAME PORT
python examples/toy_server.py --list 7500 one=7101 two=7102      serves the server list over HTTP
"""

import json
import random
import socketserver
import sys
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class SessionHandler(socketserver.StreamRequestHandler):
    """Answers the opening line with UP and a session id, reports a load, and echoes lines until QUIT."""

    def handle(self) -> None:
        if not self.rfile.readline().startswith(b"OPEN "):
            self.wfile.write(b"SYNTAX\r\n")
            return
        self.wfile.write(b"UP %s-%08x\r\n" % (self.server.name.encode(), random.getrandbits(32)))
        self.wfile.write(b"LOAD %d\r\n" % random.randint(1_000, 50_000))
        for line in self.rfile:
            if line.strip() == b"QUIT":
                self.wfile.write(b"BYE\r\n")
                return
            self.wfile.write(line)


class SessionServer(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    name = ""


class ListHandler(BaseHTTPRequestHandler):
    """Sends the whole list. The list never changes, so a watch for changes ends only after its wait time."""

    protocol_version = "HTTP/1.1"
    entries: list[dict[str, str]] = []

    def do_GET(self) -> None:
        query = parse_qs(urlsplit(self.path).query)
        is_current = query.get("index") == ["1"]
        if is_current:
            time.sleep(int(query.get("wait", ["0"])[0]) / 1000)
        answer = {"version": 1, "full": not is_current, "servers": [] if is_current else self.entries}
        body = json.dumps(answer).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        pass


def main(arguments: list[str]) -> int:
    if len(arguments) >= 2 and arguments[0] == "--list":
        for server_argument in arguments[2:]:
            name, _, port = server_argument.partition("=")
            ListHandler.entries.append(
                {"id": name, "addr": f"127.0.0.1:{port}", "zone": "here", "state": "SERVING"}
            )
        ThreadingHTTPServer(("127.0.0.1", int(arguments[1])), ListHandler).serve_forever()
    elif len(arguments) == 2:
        server = SessionServer(("127.0.0.1", int(arguments[1])), SessionHandler)
        server.name = arguments[0]
        server.serve_forever()
    print(__doc__, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
