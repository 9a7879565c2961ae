"""A toy server to try thymedeck with: it takes sessions, tells a load, and sends every line back.

python examples/toy_server.py NAME PORT
python examples/toy_server.py --list 7500 one=7101 two=7102      the list of servers, over HTTP
"""

import json
import random
import socketserver
import sys
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Session(socketserver.StreamRequestHandler):
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


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    name = ""


class List(BaseHTTPRequestHandler):
    """Answers the whole list, or waits as long as a watch asks, since nothing ever changes."""

    protocol_version = "HTTP/1.1"
    entries: list[dict[str, str]] = []

    def do_GET(self) -> None:
        asked = parse_qs(urlsplit(self.path).query)
        known = asked.get("index") == ["1"]
        if known:
            time.sleep(int(asked.get("wait", ["0"])[0]) / 1000)
        answer = {"version": 1, "full": not known, "servers": [] if known else self.entries}
        body = json.dumps(answer).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        pass


def main(words: list[str]) -> int:
    if len(words) >= 2 and words[0] == "--list":
        for word in words[2:]:
            name, _, port = word.partition("=")
            List.entries.append({"id": name, "addr": f"127.0.0.1:{port}", "zone": "here", "state": "SERVING"})
        ThreadingHTTPServer(("127.0.0.1", int(words[1])), List).serve_forever()
    elif len(words) == 2:
        server = Server(("127.0.0.1", int(words[1])), Session)
        server.name = words[0]
        server.serve_forever()
    print(__doc__, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
