"""A runner that is cut off, crashes behind the cut and starts again: does half of an answer look
complete?"""

import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(os.path.dirname(HERE), "standins-3")
sys.path.insert(0, STANDINS)
import site3  # noqa: E402

REQUESTS = 24
RUNNERS = 3
# Lengths of the cut and of the runner's absence behind it.
CUT_S = 1.3
DOWN_S = 0.5
WHOLE_BYTES = 2 * 12 * len("line 00 of the answer, first half\n") + 12


class Cut:
    """The way from the nodes to a runner. While it is cut, no byte, no begin and no end of a
    connection passes; what was under way arrives once the cut has healed."""

    def __init__(self, ip, upstream):
        self.upstream = upstream
        self.open = threading.Event()
        self.open.set()
        self.socket = socket.socket()
        self.socket.bind((ip, 0))
        self.socket.listen(64)
        self.address = "%s:%d" % self.socket.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.socket.accept()
            threading.Thread(target=self.join, args=(near,), daemon=True).start()

    def join(self, near):
        self.open.wait()
        try:
            far = socket.create_connection(self.upstream, timeout=2.0)
            far.settimeout(None)
        except OSError:
            return site3.reset(near)
        for source, target in ((near, far), (far, near)):
            threading.Thread(target=self.forward, args=(source, target), daemon=True).start()

    def forward(self, source, target):
        try:
            while True:
                data = source.recv(65536)
                self.open.wait()
                if not data:
                    return target.shutdown(socket.SHUT_WR)
                target.sendall(data)
        except OSError:
            site3.reset(target)


def run(site, record):
    ran = []

    def start_runner(number, port):
        address = "%s:%d" % (site.ip(4 + number), port)
        child = site.spawn([sys.executable, os.path.join(STANDINS, "runner3.py"), address, "i-%d" % number])
        if child.stdout.readline().strip() != b"listening":
            raise site3.CannotRun("the runner does not listen")

        def collect():
            for text in child.stdout:
                record.line("runner i-%d, process %d: %s" % (number, child.pid, text.decode().strip()))
                ran.append(text)

        threading.Thread(target=collect, daemon=True).start()
        return child

    runners, cuts = [], []
    for number in range(1, RUNNERS + 1):
        ip = site.ip(4 + number)
        port = site3.free_port(ip)
        runners.append(start_runner(number, port))
        cuts.append(Cut(ip, (ip, port)))
        site.put_server("i-%d" % number, cuts[-1].address, "app", 12)
    site.publish(
        site3.config(
            [site3.route("/lookup/", "safe", "app")],
            [{"name": "app", "maxConnections": 110}],
            [site3.tenant("alpha", "key-alpha")],
        )
    )
    site.add_nodes(1)
    node = site.nodes[0]

    def send(number):
        headers = {"Request-Id": "r-%d" % number, "Deadline-Ms": "3000", "Key": "key-alpha"}
        record.line("client: sent r-%d" % number)
        reply = site3.call(node.front, "GET", "/lookup/%d" % number, headers)
        record.line("client: r-%d %s" % (number, reply))
        return reply

    def disrupt():
        time.sleep(0.3)
        if not site3.TROUBLE:
            return
        runner, cut = runners[0], cuts[0]
        record.line("cut: runner i-1 is cut off")
        cut.open.clear()
        time.sleep(0.2)
        runner.kill()
        runner.wait()
        record.line("runner i-1, process %d: crashed behind the cut" % runner.pid)
        time.sleep(DOWN_S)
        runner = start_runner(1, cut.upstream[1])
        record.line("runner i-1, process %d: started again" % runner.pid)
        time.sleep(CUT_S - 0.2 - DOWN_S)
        record.line("cut: has healed")
        cut.open.set()

    tasks = [disrupt] + [lambda number=number: send(number) for number in range(REQUESTS)]
    replies = site3.at_once(tasks)[1:]
    short = [reply for reply in replies if reply.status == 200 and reply.whole and len(reply.body) < WHOLE_BYTES]
    if not ran:
        raise site3.CannotRun("no request ran")
    if not site3.TROUBLE and any(reply.status != 200 for reply in replies):
        raise site3.CannotRun("a request failed without a disruption")
    return bool(short), "%d of %d clients got a part of the runner's body as a whole answer with status 200" % (
        len(short), len(replies),
    )


site3.main(__file__, run)
