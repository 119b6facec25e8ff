"""Bad clients, a process of its own: each writes hundreds of requests at once, reads all answers, and the same again.

Arguments: the gateway's address, the number of clients, requests at once, seconds. Prints the number of answers.
"""

import socket
import sys
import threading
import time

REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"


def client(address, batch, end, totals):
    """One bad client, which opens a new connection when the gateway has closed the last one."""
    while time.monotonic() < end:
        try:
            with socket.create_connection(address, timeout=5) as sock:
                while time.monotonic() < end:
                    sock.sendall(REQUEST * batch)
                    answers = 0
                    while answers < batch:
                        data = sock.recv(1 << 20)
                        if not data:
                            raise ConnectionError
                        answers += data.count(b"HTTP/1.1 ")
                    totals.append(answers)
        except OSError:
            time.sleep(0.01)


def main():
    """Runs the clients for their time."""
    host, port = sys.argv[1].rsplit(":", 1)
    count, batch, seconds = int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    totals = []
    end = time.monotonic() + seconds
    threads = [
        threading.Thread(target=client, args=((host, int(port)), batch, end, totals), daemon=True) for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(seconds + 6)
    print(sum(totals))


main()
