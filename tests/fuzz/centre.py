"""A data centre in simulated time.

Membership views and ownership tables exchange heartbeats; processes may
die or pause, links may be cut, and the store may be unreachable.
"""

from __future__ import annotations

import collections

from cowslipshift.coordination import members
from cowslipshift.coordination import ownership

STEP_S = 0.1
LONGEST_REQUEST_S = 3.0
HOLD_S = LONGEST_REQUEST_S + 0.25
SLOTS_PER_SERVER = 2
HEARTBEAT_INTERVAL_STEPS = 10
PROBE_INTERVAL_STEPS = 3
FENCE_CHECK_INTERVAL_STEPS = 20
LINK_TIMEOUT_S = 3.0
STORE_WAIT_S = 5.0
RAISE_INCARNATION_WITHIN_S = 10.0
FENCE_LEAD_MS = 2000


class Server:
    """A backend server that checks its running requests against its slots."""

    def __init__(self) -> None:
        self.end_times_s: list[float] = []

    def start(self, now: float, until: float) -> None:
        self.end_times_s = [end for end in self.end_times_s if end > now]
        self.end_times_s.append(until)
        assert len(self.end_times_s) <= SLOTS_PER_SERVER, (
            "more requests than slots"
        )


class Link:
    """One direction of a link, which delivers heartbeats in order."""

    def __init__(self) -> None:
        self.sequence = 0
        self.heard = 0
        self.sent_s: dict[int, float] = {}
        self.queue: collections.deque[tuple[float, dict[str, object]]] = (
            collections.deque()
        )
        self.last_received_s = 0.0


class Process:
    """One process of a host, with its membership view and ownership table."""

    def __init__(
        self, centre: Centre, name: str, incarnation: int, clean: bool
    ) -> None:
        self.centre = centre
        self.name = name
        self.paused = False
        self.running: dict[str, list[float]] = {}
        self.began_s = self.now
        self.membership = members.MembershipView(name, incarnation, self.now)
        self.table = ownership.OwnershipTable(self.membership, clean)
        self.membership.add_configured(centre.names, self.now)
        self.table.set_resources(
            dict.fromkeys(centre.servers, HOLD_S), self.now
        )

    @property
    def now(self) -> float:
        """Monotonic time of the host, whose clock has its own origin."""
        return self.centre.now + 500.0 * self.centre.names.index(self.name)

    def count_running(self, resource: str) -> tuple[int, float]:
        now = self.centre.now
        kept = [end for end in self.running.get(resource, []) if end > now]
        self.running[resource] = kept
        return len(kept), 0.0

    def try_start(self, resource: str, duration_s: float) -> bool:
        usable = self.table.count_usable(resource, SLOTS_PER_SERVER, self.now)
        if self.count_running(resource)[0] >= usable:
            return False
        until = self.centre.now + duration_s
        self.running[resource].append(until)
        self.centre.servers[resource].start(self.centre.now, until)
        return True

    def is_idle(self) -> bool:
        return not any(self.count_running(r)[0] for r in self.centre.servers)


class Centre:
    """Hosts, links, backend servers and store of a data centre."""

    def __init__(self, hosts: int, servers: int, delay_s: float) -> None:
        self.now = 0.0
        self.steps = 0
        self.delay_s = delay_s
        self.names = [f"h{n}" for n in range(hosts)]
        self.servers = {f"s{n}": Server() for n in range(servers)}
        self.processes: dict[str, Process] = {}
        self.clean: dict[str, bool] = dict.fromkeys(self.names, True)
        self.cut: set[frozenset[str]] = set()
        self.links: dict[tuple[str, str], Link] = {}
        self.store_up = True
        self.fences: dict[str, int] = {}
        self.last_incarnation = 0
        for name in self.names:
            self.start(name)

    @property
    def now_ms(self) -> int:
        return 1 + int(self.now * 1000)

    def start(self, name: str) -> None:
        self.last_incarnation = max(self.last_incarnation + 1, self.now_ms)
        clean = self.clean[name] and self.store_up
        self.processes[name] = Process(
            self, name, self.last_incarnation, clean
        )
        self.clean[name] = False
        for pair in list(self.links):
            if name in pair:
                del self.links[pair]

    def kill(self, name: str) -> None:
        del self.processes[name]

    def leave(self, name: str) -> None:
        """Stop a host gracefully if its requests end within the hold time."""
        process = self.processes[name]
        process.membership.start_leaving()
        self.exchange(name)
        self.advance(int(HOLD_S / STEP_S) + 1)
        self.exchange(name)
        waiting = process.table.has_pending(process.now)
        if process.is_idle() and not waiting:
            self.clean[name] = self.store_up
        self.kill(name)

    def advance(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP_S
            self.steps += 1
            for name in list(self.processes):
                self.run_step(name)

    def run_step(self, name: str) -> None:
        process = self.processes.get(name)
        if process is None or process.paused:
            return
        self.receive(name)
        process.membership.tick(process.now)
        if process.membership.is_superseded():
            assert process.now - process.began_s < RAISE_INCARNATION_WITHIN_S
            process.membership.raise_incarnation(process.now)
        process.membership.try_resume(process.now, store_cleared=False)
        process.table.refresh(process.now)
        if self.steps % PROBE_INTERVAL_STEPS == 0:
            self.probe(name)
        if self.steps % HEARTBEAT_INTERVAL_STEPS == 0:
            self.exchange(name)
        if self.steps % FENCE_CHECK_INTERVAL_STEPS == 0:
            self.check_fences(name)

    def is_open(self, first: str, second: str) -> bool:
        return (
            first in self.processes
            and second in self.processes
            and frozenset((first, second)) not in self.cut
        )

    def probe(self, name: str) -> None:
        membership = self.processes[name].membership
        for other in self.names:
            if other == name or (name, other) in self.links:
                continue
            if frozenset((name, other)) in self.cut:
                membership.record_connection_failure(other)
            elif other not in self.processes:
                membership.record_connection_refused(
                    other, self.processes[name].now
                )
            elif self.processes[other].paused:
                membership.record_connection_failure(other)
            else:
                self.links[name, other] = Link()
                self.links[other, name] = Link()
                self.links[name, other].last_received_s = self.now
                self.links[other, name].last_received_s = self.now
                self.send(name, other)
                self.send(other, name)

    def exchange(self, name: str) -> None:
        for other in self.names:
            if (name, other) in self.links:
                self.send(name, other)

    def send(self, name: str, other: str) -> None:
        process = self.processes[name]
        link = self.links[name, other]
        back = self.links[other, name]
        if self.now - back.last_received_s > LINK_TIMEOUT_S:
            del self.links[name, other], self.links[other, name]
            return
        link.sequence += 1
        link.sent_s[link.sequence] = process.now
        message = {
            "incarnation": process.membership.incarnation,
            "sequence": link.sequence,
            "heard": back.heard,
            "fenced_up_to": process.membership.get_fence(other),
            "counts_you": process.membership.get_incarnation(other),
            "leaving": process.membership.is_leaving,
            "handovers": process.table.list_handovers(
                process.count_running, process.now
            ),
        }
        if self.is_open(name, other):
            link.queue.append((self.now + self.delay_s, message))

    def receive(self, name: str) -> None:
        for other in self.names:
            link = self.links.get((other, name))
            while link and link.queue and link.queue[0][0] <= self.now:
                _, message = link.queue.popleft()
                link.last_received_s = self.now
                self.handle_heartbeat(name, other, link, message)

    def handle_heartbeat(
        self, name: str, other: str, link: Link, message: dict[str, object]
    ) -> None:
        process = self.processes[name]
        link.heard = message["sequence"]
        joined = process.membership.record_heartbeat(
            other, message["incarnation"], message["leaving"], process.now
        )
        if message["fenced_up_to"]:
            process.membership.record_fence(
                name, message["fenced_up_to"], process.now
            )
        process.table.accept_handovers(
            other, message["handovers"], process.now
        )
        mine = self.links[name, other]
        sent_s = mine.sent_s.pop(message["heard"], None)
        if sent_s is not None:
            process.membership.record_acknowledgement(
                other, sent_s, message["counts_you"]
            )
        if joined:
            self.send(name, other)

    def check_fences(self, name: str) -> None:
        process = self.processes[name]
        membership = process.membership
        needed = membership.needs_fence_check(process.now)
        if not needed and not membership.is_suspended:
            return
        if self.store_up:
            self.apply_fences(process)
            if not membership.is_suspended:
                for other in membership.find_fence_candidates(process.now):
                    known = self.fences.get(other, 0)
                    number = self.now_ms + FENCE_LEAD_MS
                    self.fences[other] = max(number, known + 1)
                self.apply_fences(process)
        else:
            membership.record_store_failure(process.now)
        waited = membership.measure_suspension(process.now) > STORE_WAIT_S
        membership.try_resume(
            process.now, store_cleared=self.store_up or waited
        )

    def apply_fences(self, process: Process) -> None:
        for host, number in self.fences.items():
            process.membership.record_fence(host, number, process.now)
