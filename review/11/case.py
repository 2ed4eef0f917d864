"""A request that crashes the runners comes again, and its client leaves each time before the crash: is it refused?"""

import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(os.path.dirname(HERE), "standins-3")
sys.path.insert(0, STANDINS)
import site3  # noqa: E402

NODES = 3
RUNNERS = 6
WORK_S = 0.5
# Time after which the client of the deadly request leaves.
LEAVES_AFTER_S = 0.3
BACK_AFTER_S = 2.0
PERIOD_S = 0.9
COPIES = 16
SOUND_PER_S = 34
CONTACT_S = 3.0
RETRIES_MAX = 3
# For comparison: the client waits for the answer.
STAYS = os.environ.get("STAYS") == "1"


class Runner:
    """Starts a runner, and again some seconds after it has crashed."""

    def __init__(self, site, record, number, runs, crashes):
        self.site, self.record, self.number = site, record, number
        self.runs, self.crashes = runs, crashes
        self.id = "i-%d" % number
        self.ip = site.ip(4 + number)
        self.address = "%s:%d" % (self.ip, site3.free_port(self.ip))
        self.start()

    def start(self):
        script = os.path.join(STANDINS, "crasher3.py")
        args = [self.address, self.id, "1" if site3.TROUBLE else "0", str(WORK_S)]
        child = self.site.spawn([sys.executable, script] + args)
        if child.stdout.readline().strip() != b"listening":
            raise site3.CannotRun("a runner does not listen")
        self.site.put_server(self.id, self.address, "app", 6)
        threading.Thread(target=self.watch, args=(child,), daemon=True).start()

    def watch(self, child):
        for text in child.stdout:
            _, own, target = text.decode().split()
            self.record.line("runner %s: runs %s %s" % (self.id, own, target))
            if own.startswith("d-"):
                self.runs.append((time.monotonic(), own))
        if child.wait() == 1:
            self.record.line("runner %s: crashed" % self.id)
            self.crashes.append(time.monotonic())
            time.sleep(BACK_AFTER_S)
            if not self.site.is_closed:
                self.start()


def run(site, record):
    runs, crashes = [], []
    for number in range(1, RUNNERS + 1):
        Runner(site, record, number, runs, crashes)
    site.publish(
        site3.config(
            [site3.route("/orders/", "unsafe", "app", maxAttempts=1)],
            [{"name": "app", "maxConnections": 110}],
            [site3.tenant("alpha", "key-alpha")],
        )
    )
    site.add_nodes(NODES)
    time.sleep(CONTACT_S)
    statuses = {}
    is_over = threading.Event()
    sound_sent = [0]

    def send_sound(number):
        own = "s-%d" % number
        headers = {"Request-Id": own, "Deadline-Ms": "3000", "Key": "key-alpha"}
        reply = site3.call(site.nodes[number % NODES].front, "POST", "/orders/hold/%s" % own, headers, b"sound")
        record.line("client: %s %s" % (own, reply))

    def sound():
        """Clients beside it that stay, and whose requests crash nobody."""
        while not is_over.is_set():
            threading.Thread(target=send_sound, args=(sound_sent[0],), daemon=True).start()
            sound_sent[0] += 1
            time.sleep(1.0 / SOUND_PER_S)

    threading.Thread(target=sound, daemon=True).start()
    time.sleep(0.5)
    for number in range(COPIES):
        own = "d-%d" % number
        node = site.nodes[number % NODES]
        headers = {"Request-Id": own, "Deadline-Ms": "3000", "Key": "key-alpha"}
        timeout = LEAVES_AFTER_S if site3.TROUBLE and not STAYS else 5.0
        reply = site3.call(node.front, "POST", "/orders/transfer", headers, b"deadly", timeout=timeout)
        record.line("client: %s %s" % (own, reply))
        answer = str(reply.status) if reply.status else "left"
        statuses[answer] = statuses.get(answer, 0) + 1
        time.sleep(PERIOD_S)
    is_over.set()
    time.sleep(1.0)
    if not site3.TROUBLE:
        return bool(crashes), "%d requests, %d crashes, answers %s" % (COPIES, len(crashes), statuses)
    if len(crashes) < 3:
        raise site3.CannotRun("only %d crashes" % len(crashes))
    third = sorted(crashes)[2]
    if COPIES > 0.03 * (COPIES + sound_sent[0]):
        raise site3.CannotRun("only %d sound requests" % sound_sent[0])
    late = [own for at, own in runs if at > third + CONTACT_S]
    return len(late) > RETRIES_MAX, (
        "%d retries reached runners later than contactMs after the third crash, allowed are %d; %d crashes of %d runners "
        "in %.0f s; answers %s"
        % (len(late), RETRIES_MAX, len(crashes), RUNNERS, COPIES * (PERIOD_S + LEAVES_AFTER_S), statuses)
    )


site3.main(__file__, run)
