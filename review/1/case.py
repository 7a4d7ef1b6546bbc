"""A host is stopped and started; its clients go on with new connections."""

from __future__ import annotations

import asyncio
import signal

from standins import client
from standins import deployment
from standins import traffic

TIMEOUT_S = 1.2
HELD_S = 0.5
MOST_HELD = 8
CLIENTS = 6
PAUSE_S = 0.2


class Till:
    """A client with a kept connection, and with new ones once it ended."""

    def __init__(
        self, orders: traffic.Traffic, deployed: deployment.Deployment, n: int
    ) -> None:
        self._orders = orders
        self._hosts = deployed.hosts
        self._number = n
        self._sent = 0

    async def run(self) -> None:
        """Send orders until cancelled."""
        home = self._hosts[self._number % len(self._hosts)]
        kept = client.Connection(home.front)
        await kept.open()
        while kept.is_open:
            await self._send(kept, home, closes=False)
        # Its host is stopped. Each further order has a connection of its own,
        # to one of the other hosts, and says that it has.
        others = [host for host in self._hosts if host is not home]
        while True:
            host = others[self._sent % len(others)]
            once = client.Connection(host.front)
            await self._send(once, host, closes=True)

    async def _send(
        self,
        connection: client.Connection,
        host: deployment.Host,
        closes: bool,
    ) -> None:
        self._sent += 1
        thing = str((self._sent * 7 + self._number) % traffic.THINGS)
        await asyncio.shield(
            self._orders.send(host, connection, thing, closes=closes)
        )
        await asyncio.sleep(PAUSE_S)


async def play(deployed: deployment.Deployment) -> bool:
    """Return whether CONFIG held at the hosts that stay in touch."""
    deployed.configure_orders(timeout_ms=int(TIMEOUT_S * 1000))
    await deployed.add_upstreams("aprobaciones", 2, work_s=0.1)
    await deployed.add_hosts(["andina-a", "caribe-a", "pacifico-a"])
    orders = traffic.Traffic(deployed.record, deadline_ms=4000)
    tills = [
        asyncio.create_task(Till(orders, deployed, number).run())
        for number in range(CLIENTS * len(deployed.hosts))
    ]
    await asyncio.sleep(3.0)
    stopped = deployed.hosts[0]
    if deployed.has_trouble:
        deployed.record.write(f"platform: SIGTERM to {stopped.name}")
        stopped.send_signal(signal.SIGTERM)
        assert stopped.process is not None
        await stopped.process.wait()
        deployed.record.write(f"platform: {stopped.name} starts again")
        await stopped.start(is_bootstrap=False)
        await stopped.wait_ready()
    else:
        await asyncio.sleep(7.0)
    await asyncio.sleep(6.0)
    for task in tills:
        task.cancel()
    await asyncio.gather(*tills, return_exceptions=True)
    await asyncio.sleep(4.5)
    return judge(deployed, orders, stopped)


def judge(
    deployed: deployment.Deployment,
    orders: traffic.Traffic,
    stopped: deployment.Host,
) -> bool:
    """Return whether CONFIG held."""
    # Calm hosts only; all orders were sent long enough before the end.
    calm = [sent for sent in orders.sent.values() if sent.host is not stopped]
    long = [sent for sent in calm if sent.took_s > TIMEOUT_S]
    held = [sent for sent in long if sent.took_s > TIMEOUT_S + HELD_S]
    ran = {identity for u in deployed.upstreams for identity in u.runs}
    never = [sent for sent in held if sent.identity not in ran]
    deployed.record.conclude(
        f"{len(calm)} orders at calm hosts; {len(long)} lasted longer than "
        f"timeout_ms, {len(held)} had no answer 0.5 s after it, "
        f"{len(never)} of these reached no upstream"
    )
    if not calm:
        raise RuntimeError("no orders")
    return not (len(held) >= MOST_HELD and len(held) * 4 > len(long))


if __name__ == "__main__":
    deployment.run_case(__file__, play)
