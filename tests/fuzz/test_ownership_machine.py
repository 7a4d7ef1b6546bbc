"""A backend server never runs more requests than it has slots.

Guards against two hosts using a slot at the same time while its ownership
changes between them.
"""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

from tests.fuzz import centre as centres

HOSTS = 3
SERVERS = 4
RECOVERY_STEPS = 250

numbers = st.integers(0, HOSTS - 1)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Hosts that die, pause, leave, lose links or cannot reach the store."""

    @stateful.initialize(delay=st.sampled_from([0.0, 0.3, 1.0]))
    def begin(self, delay: float) -> None:
        self.centre = centres.Centre(HOSTS, SERVERS, delay)
        self.centre.advance(30)

    @stateful.rule(steps=st.sampled_from([1, 3, 10, 30, 80]))
    def advance(self, steps: int) -> None:
        self.centre.advance(steps)
        self.load_servers()

    @stateful.rule(host=numbers)
    def kill(self, host: int) -> None:
        name = self.centre.names[host]
        if name in self.centre.processes:
            self.centre.kill(name)

    @stateful.rule(host=numbers)
    def start(self, host: int) -> None:
        name = self.centre.names[host]
        if name not in self.centre.processes:
            self.centre.start(name)

    @stateful.rule(host=numbers)
    def leave(self, host: int) -> None:
        process = self.centre.processes.get(self.centre.names[host])
        if process is not None and not process.paused:
            self.centre.leave(process.name)

    @stateful.rule(host=numbers)
    def toggle_pause(self, host: int) -> None:
        process = self.centre.processes.get(self.centre.names[host])
        if process is not None:
            process.paused = not process.paused
            self.load_servers()

    @stateful.rule(first=numbers, second=numbers)
    def toggle_link(self, first: int, second: int) -> None:
        if first != second:
            names = self.centre.names
            self.centre.cut ^= {frozenset((names[first], names[second]))}

    @stateful.rule()
    def toggle_store(self) -> None:
        self.centre.store_up = not self.centre.store_up

    @stateful.rule(duration_s=st.floats(0.05, centres.LONGEST_REQUEST_S))
    def send_long_requests(self, duration_s: float) -> None:
        self.load_servers(duration_s)

    def load_servers(
        self, duration_s: float = centres.LONGEST_REQUEST_S
    ) -> None:
        """Send each host more requests than it may start."""
        for process in list(self.centre.processes.values()):
            if process.paused:
                continue
            for resource in self.centre.servers:
                while process.try_start(resource, duration_s):
                    pass

    def teardown(self) -> None:
        """After all faults are repaired, every slot is usable again."""
        if not hasattr(self, "centre"):
            return
        centre = self.centre
        centre.cut.clear()
        centre.store_up = True
        for name in centre.names:
            if name not in centre.processes:
                centre.start(name)
            centre.processes[name].paused = False
        centre.advance(RECOVERY_STEPS)
        usable = {
            resource: sum(
                process.table.count_usable(
                    resource, centres.SLOTS_PER_SERVER, process.now
                )
                for process in centre.processes.values()
            )
            for resource in centre.servers
        }
        assert set(usable.values()) == {centres.SLOTS_PER_SERVER}, usable


TestOwnership = OwnershipMachine.TestCase
