"""A minimal client: sends each line of the input, ended by CRLF, and prints what the server answers.

python examples/toy_client.py PORT
"""

import selectors
import socket
import sys


def main(port: int) -> None:
    sock = socket.create_connection(("127.0.0.1", port))
    selector = selectors.DefaultSelector()
    selector.register(sock, selectors.EVENT_READ)
    selector.register(sys.stdin, selectors.EVENT_READ)
    while True:
        for key, _ in selector.select():
            if key.fileobj is sock:
                received = sock.recv(4096)
                if not received:
                    return
                print(received.decode(errors="replace"), end="", flush=True)
            else:
                line = sys.stdin.readline()
                if not line:
                    return
                sock.sendall(line.rstrip("\n").encode() + b"\r\n")


if __name__ == "__main__":
    main(int(sys.argv[1]))
