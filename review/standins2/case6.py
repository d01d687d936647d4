"""Case 6: requests that come late in a planned stop are passed on and cut off.

One of two machines is stopped. Requesters have opened channels to it before and send their
first requests on them afterwards. Streams that it takes then are cut at its exit.
"""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING

from review.standins2.engine import Engine
from review.standins2.harness import CONFIGURATION, TROUBLE, run

if TYPE_CHECKING:
    from review.standins2.harness import Deployment
    from review.standins2.node import Node

GRACE_S = 8.0
LATEST_EXCUSED_S = 3.0
"""A request that was sent by then may be cut while its replica is at work."""

TIMEOUT_S = 4.0
EVENTS = 12
INTERVAL_S = 0.25
SEND_S = [0.2 * number for number in range(1, 30)]
"""Times of the first requests on the channels, from SIGTERM on."""


def engines(record) -> list[Engine]:
    """Return the engines."""
    return [
        Engine(
            name, record, version=3, events=EVENTS, interval_s=INTERVAL_S, is_quiet=True
        )
        for name in ("engine-1", "engine-2")
    ]


class Requester:
    """A requester that opens a channel and sends its first request on it later.

    Args:
        deployment: The deployment.
        node: The node.
        number: Its number.
    """

    def __init__(self, deployment: Deployment, node: Node, number: int):
        self.sent_s = 0.0
        self.ended_s = 0.0
        self.answer = b""
        self.error = ""
        self.number = number
        self.request_id = f"{number:016x}"
        self._deployment = deployment
        host, _, port = node.front.rpartition(":")
        self._channel = socket.create_connection((host, int(port)), 12.0)

    @property
    def status(self) -> int:
        """Status of the answer, 0 for none."""
        return int(self.answer[9:12] or 0)

    @property
    def is_whole(self) -> bool:
        """Whether the answer is complete."""
        if self.status == 200:
            return self.answer.endswith(b"0\r\n\r\n")
        return self.status > 0

    def send(self) -> None:
        """Send the request and read the answer until the channel ends."""
        lines = [
            f"POST /ask/{self.number} HTTP/1.1",
            "Host: ai.example",
            f"X-Attempt-Id: {self.request_id}",
            "X-Time-Budget: 4000",
            "X-Model: m",
            "X-Token-Counts: 290,26",
            f"X-Prompt-Prefix: {self.number:02x}:290",
            "Authorization: Token k1",
            "Content-Length: 1",
            "",
            "x",
        ]
        self.sent_s = time.monotonic()
        try:
            self._channel.sendall("\r\n".join(lines).encode())
            while piece := self._channel.recv(65536):
                self.answer += piece
                if self.is_whole and self.status == 200:
                    break
        except OSError as error:
            self.error = repr(error)
        self.ended_s = time.monotonic()
        self._channel.close()


def broken(requester: Requester, ran: set[str], stopped_s: float) -> bool:
    """Return whether a request was lost as the rule counts it."""
    sent_s = requester.sent_s - stopped_s
    lasted_s = requester.ended_s - requester.sent_s
    return (
        requester.request_id in ran
        and not requester.is_whole
        and sent_s > LATEST_EXCUSED_S
        and lasted_s < TIMEOUT_S
        and requester.ended_s - stopped_s <= GRACE_S + 1.0
    )


def play(deployment: Deployment) -> int:
    """Play the case and return whether the rule was broken.

    Raises:
        RuntimeError: It can't be played.
    """
    deployment.start()
    node = deployment.nodes[0]
    requesters = [
        Requester(deployment, node, number) for number in range(1, len(SEND_S) + 1)
    ]
    time.sleep(0.5)
    stopped_s = time.monotonic()
    if TROUBLE:
        node.terminate()
        deployment.record(f"trouble: SIGTERM of {node.name}")
    threads = []
    for requester, send_s in zip(requesters, SEND_S, strict=True):
        time.sleep(max(0.0, stopped_s + send_s - time.monotonic()))
        thread = threading.Thread(target=requester.send, daemon=True)
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    if not all(requester.is_whole for requester in requesters[:5]):
        raise RuntimeError("requests of the first second were not answered")
    ran = {each for engine in deployment.engines for each in engine.ran}
    lost = 0
    for requester in requesters:
        is_broken = broken(requester, ran, stopped_s)
        lost += is_broken
        deployment.record(
            f"requester: {requester.request_id} sent {requester.sent_s - stopped_s:.2f} s "
            f"after the stop, ended {requester.ended_s - stopped_s:.2f} s: status "
            f"{requester.status}, whole: {requester.is_whole}, ran: "
            f"{requester.request_id in ran}{', LOST' if is_broken else ''} "
            f"{requester.error}"
        )
    word = "BROKEN" if lost else "held"
    deployment.record(
        f"{word}: LOST: {lost} requests that were sent over {LATEST_EXCUSED_S:g} s after "
        "the SIGTERM were passed on to a replica, and their channels ended without a "
        "complete answer before their time was up"
    )
    return 1 if lost else 0


if __name__ == "__main__":
    route = {**CONFIGURATION["Routes"][0], "TimeoutMs": 4_000, "TargetLatencyMs": 400}
    run(
        6,
        engines,
        play,
        log_words=("drain", '"broken off"'),
        configuration={**CONFIGURATION, "Routes": [route]},
    )
