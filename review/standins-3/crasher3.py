"""A runner of a plain service as a process of its own: `crasher3.py IP:PORT ID CRASHES WORK_S`. It works WORK_S
on each request. One with the body `deadly` ends it then, if CRASHES is 1. Prints what it runs."""

import os
import sys
import time

import site3

address, id_, crashes, work_s = sys.argv[1], sys.argv[2], sys.argv[3] == "1", float(sys.argv[4])
ip, port = address.rsplit(":", 1)


def handle(connection, request):
    own = request.header("request-id")
    if request.header("expect-instance") not in ("", id_):
        fields = {"Request-Id": own, "Instance-Id": id_}
        connection.sendall(site3.answer("421 Misdirected Request", fields, b""))
        return True
    # One write, because requests run side by side.
    os.write(1, ("run %s %s\n" % (own, request.target)).encode())
    time.sleep(work_s)
    if crashes and request.body == b"deadly":
        os._exit(1)
    fields = {"Request-Id": own, "Server-Seal": "%s.%s" % (id_, own)}
    connection.sendall(site3.answer("200 OK", fields, b"done"))
    return True


server = site3.HttpServer((ip, int(port)), handle)
print("listening", flush=True)
while True:
    time.sleep(3600)
