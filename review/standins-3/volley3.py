"""Clients of one tenant: `volley3.py REQUESTS SPAN_S NODE...` opens a connection for each request, spread evenly
over the nodes, and sends the requests over SPAN_S seconds, or at one moment if that is 0. Prints when it sent, and
each answer."""

import select
import socket
import sys
import time

import site3

requests, span_s, nodes = int(sys.argv[1]), float(sys.argv[2]), sys.argv[3:]
connections = []
for number in range(requests):
    ip, port = nodes[number % len(nodes)].rsplit(":", 1)
    connection = socket.create_connection((ip, int(port)), timeout=5.0)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connections.append(connection)
waiting = dict(zip(connections, range(requests)))


def receive(timeout):
    for connection in select.select(list(waiting), [], [], timeout)[0]:
        received = connection.recv(4096)
        number = waiting.pop(connection)
        print("r-%d %s" % (number, received.split(b" ")[1].decode() if received else "closed"))


# The nodes have taken the connections.
time.sleep(0.3)
began = time.monotonic()
for number, connection in enumerate(connections):
    time.sleep(max(0.0, began + number * span_s / requests - time.monotonic()))
    head = (
        "GET /lookup/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: r-%d\r\nDeadline-Ms: 1200\r\nKey: key-alpha\r\n\r\n"
        % (number, site3.HOST, number)
    )
    connection.sendall(head.encode())
print("sent %.3f" % (time.monotonic() - began))
deadline = time.monotonic() + 3.0
while waiting and time.monotonic() < deadline:
    receive(0.1)
