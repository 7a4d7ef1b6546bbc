"""A server never runs more than its slots, whoever owns them."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

from tests.fuzz import centre as centres

HOSTS = 3
SERVERS = 4
LONG_ENOUGH_STEPS = 250

numbers = st.integers(0, HOSTS - 1)


class HomesMachine(stateful.RuleBasedStateMachine):
    """Hosts that die, pause, leave, are cut off and lose the store."""

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
    def pause_or_wake(self, host: int) -> None:
        process = self.centre.processes.get(self.centre.names[host])
        if process is not None:
            process.paused = not process.paused
            self.load_servers()

    @stateful.rule(first=numbers, second=numbers)
    def cut_or_heal(self, first: int, second: int) -> None:
        if first != second:
            names = self.centre.names
            self.centre.cut ^= {frozenset((names[first], names[second]))}

    @stateful.rule()
    def toggle_store(self) -> None:
        self.centre.store_up = not self.centre.store_up

    @stateful.rule(lasts_s=st.floats(0.05, centres.LONGEST_S))
    def send_long_requests(self, lasts_s: float) -> None:
        self.load_servers(lasts_s)

    def load_servers(self, lasts_s: float = centres.LONGEST_S) -> None:
        """Send more than fits, to every host."""
        for process in list(self.centre.processes.values()):
            if process.paused:
                continue
            for resource in self.centre.servers:
                while process.try_start(resource, lasts_s):
                    pass

    def teardown(self) -> None:
        """Once all is mended, every slot is in use again."""
        if not hasattr(self, "centre"):
            return
        centre = self.centre
        centre.cut.clear()
        centre.store_up = True
        for name in centre.names:
            if name not in centre.processes:
                centre.start(name)
            centre.processes[name].paused = False
        centre.advance(LONG_ENOUGH_STEPS)
        usable = {
            resource: sum(
                process.table.count_usable(
                    resource, centres.SLOTS, process.now
                )
                for process in centre.processes.values()
            )
            for resource in centre.servers
        }
        assert set(usable.values()) == {centres.SLOTS}, usable


TestHomes = HomesMachine.TestCase
