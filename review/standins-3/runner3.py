"""A runner of a plain service as a process of its own: `runner3.py IP:PORT ID`.

Each answer comes with neither a length nor chunks and ends with its connection, as DEPLOY and the
news pages allow. It is written in two halves, with a second of work between them. What ran is
printed, one line each.
"""

import socket
import sys
import time

import site3

WORK_S = 1.0
address, id_ = sys.argv[1], sys.argv[2]
ip, port = address.rsplit(":", 1)


def line(number, half):
    return ("line %02d of the answer, %s half\n" % (number, half)).encode()


def handle(connection, request):
    own = request.header("request-id")
    if request.header("expect-instance") not in ("", id_):
        fields = {"Request-Id": own, "Instance-Id": id_}
        connection.sendall(site3.answer("421 Misdirected Request", fields, b""))
        return True
    print("run %s" % own, flush=True)
    first = b"".join(line(number, "first") for number in range(12))
    second = b"".join(line(number, "second") for number in range(12))
    head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nConnection: close\r\n\r\n" % (
        own, id_, own,
    )
    connection.sendall(head.encode() + first)
    time.sleep(WORK_S)
    connection.sendall(second)
    connection.shutdown(socket.SHUT_WR)
    return False


server = site3.HttpServer((ip, int(port)), handle)
print("listening", flush=True)
while True:
    time.sleep(3600)
