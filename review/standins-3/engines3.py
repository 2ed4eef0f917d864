"""Runners of a model service, as threads of a script."""

import threading

import site3

EVENTS = 4
TOKENS_PER_EVENT = 10
TURN_TOKENS = EVENTS * TOKENS_PER_EVENT


def event(id_):
    return b"id: %d\ndata: token-%d\n\n" % (id_, id_)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Engine:
    """A sound runner: streams of `EVENTS` events in chunks."""

    def __init__(self, site, record, id_, last_ip, service="models", slots=12):
        self.record, self.id = record, id_
        self.ran = []
        self.server = site3.HttpServer((site.ip(last_ip), 0), self.handle)
        self.address = self.server.address
        site.put_server(id_, self.address, service, slots)

    def refuses(self, connection, request):
        """Answers a request that is for another runner; returns whether it was."""
        if request.header("expect-instance") in ("", self.id):
            return False
        fields = {"Request-Id": request.header("request-id"), "Instance-Id": self.id}
        connection.sendall(site3.answer("421 Misdirected Request", fields, b""))
        return True

    def begin(self, request):
        own = request.header("request-id")
        self.ran.append(own)
        self.record.line("runner %s: runs %s of tenant %s" % (self.id, own, request.header("tenant")))
        return own

    def head(self, own):
        return (
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % (own, self.id, own)
        ).encode()

    def handle(self, connection, request):
        if self.refuses(connection, request):
            return True
        own = self.begin(request)
        first = int(request.header("last-event-id") or "0") + 1
        events = b"".join(chunk(event(id_)) for id_ in range(first, EVENTS + 1))
        connection.sendall(self.head(own) + events + b"0\r\n\r\n")
        return True


def model_service(name="models"):
    return {
        "name": name, "maxConnections": 160,
        "engine": {"slots": 12, "kvCapacity": 378886, "tokensPerEvent": TOKENS_PER_EVENT},
    }


class Programs:
    """Clients whose programs send one turn after another."""

    def __init__(self, record, path="/turns/x"):
        self.record, self.path = record, path
        self.lock = threading.Lock()
        self.count = 0

    def turn(self, node, program, number, key, budget, **fields):
        with self.lock:
            self.count += 1
            own = "%016x" % (0x5EED0000 + self.count)
        headers = {
            "Request-Id": own, "Deadline-Ms": "3000", "Key": key, "Program-Id": program,
            "Session-Id": "s" + program, "Finish-Ms": "20000", "Token-Budget": str(budget),
            "Token-Usage": "100,%d" % TURN_TOKENS,
        }
        headers.update(fields)
        reply = site3.call(node.front, "POST", self.path, headers, b"{}")
        events = reply.body.count(b"id: ") if reply.status == 200 else 0
        self.record.line(
            "client: program %s of %s, turn %d, request %s at node %d: %s, %d tokens%s"
            % (
                program, key, number, own, node.number, reply, events * TOKENS_PER_EVENT,
                " " + reply.body.decode("utf-8", "replace") if reply.status >= 400 else "",
            )
        )
        return reply, events * TOKENS_PER_EVENT
