"""Spreading configurations and facts between hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.config import model
from cowslipshift.coordination import facts
from cowslipshift.coordination import hashing
from cowslipshift.peers import messages

if TYPE_CHECKING:
    from cowslipshift.config import replica as replicas
    from cowslipshift.peers import network as networks
    from cowslipshift.topology import fleet

MAX_FULL_MESH_HOSTS = 32
"""Up to this many hosts each one keeps a link to every other."""

STORE_SOURCE = "store"


def choose_peers(places: fleet.Fleet, host: str) -> set[str]:
    """Return the hosts to keep links to.

    In a larger fleet these are the hosts of the same data centre and, for
    each other data centre, one pair of hosts that both sides agree on.
    """
    entry = places.hosts.get(host)
    if entry is None or len(places.hosts) <= MAX_FULL_MESH_HOSTS:
        return set(places.hosts) - {host}
    own = places.data_centres[entry.data_centre]
    peers = set(own.hosts) - {host}
    for centre in places.data_centres.values():
        if centre is own or not centre.hosts:
            continue
        pair = "~".join(sorted((own.name, centre.name)))
        if hashing.rank_members(pair, own.hosts)[0] == host:
            peers.add(hashing.rank_members(pair, centre.hosts)[0])
    return peers


class Disseminator:
    """Passes on what this host learns.

    What came from the store or was found here goes to all links; what came
    from another data centre goes to this one; what came from this data
    centre has been sent to its hosts already and goes to the others.

    Args:
        config_replica: The configuration in force.
        fact_table: The facts.
        network: The links.
    """

    def __init__(
        self,
        config_replica: replicas.ConfigurationReplica,
        fact_table: facts.FactTable,
        network: networks.Network,
    ) -> None:
        self._config_replica = config_replica
        self._fact_table = fact_table
        self._network = network
        self._places: fleet.Fleet | None = None
        config_replica.add_listener(self._pass_configuration)

    def apply(self, places: fleet.Fleet) -> None:
        """Follow a new configuration."""
        self._places = places

    def publish(self, fact: facts.Fact) -> None:
        """Take a fact that was found here and spread it."""
        self._spread(self._fact_table.merge([fact]), None)

    def handle_request(
        self, host: str, request: messages.ConfigurationRequest
    ) -> None:
        """Answer a host that lacks the configuration."""
        offer = self._config_replica.build_offer(
            request.revision, request.digest
        )
        if offer is not None:
            self._network.send(host, offer)

    def handle_offer(
        self, host: str, offer: messages.ConfigurationOffer
    ) -> None:
        """Take a configuration, or ask for what is missing."""
        if (
            not self._config_replica.accept_offer(offer, host)
            and not offer.document
        ):
            self.request_configuration(host)

    def request_configuration(self, host: str) -> None:
        """Ask a host for what came after the revision in force."""
        self._network.send(
            host,
            messages.ConfigurationRequest(
                self._config_replica.revision, self._config_replica.digest
            ),
        )

    def handle_facts(self, host: str, message: messages.Facts) -> None:
        """Take facts, and send back those that the sender lacks."""
        self._spread(self._fact_table.merge(message.facts), host)
        if message.wants_reply and message.digest != self._fact_table.digest:
            self.send_facts(host, wants_reply=False)

    def send_facts(self, host: str, wants_reply: bool) -> None:
        """Send all facts to a host."""
        self._network.send(
            host,
            messages.Facts(
                self._fact_table.digest,
                self._fact_table.list_facts(),
                wants_reply,
            ),
        )

    def reconcile(self, host: str, heartbeat: messages.Heartbeat) -> None:
        """Mend what a heartbeat shows to differ."""
        if heartbeat.revision > self._config_replica.revision:
            self.request_configuration(host)
        if heartbeat.fact_digest != self._fact_table.digest:
            self.send_facts(host, wants_reply=True)

    def _pass_configuration(
        self, configuration: model.Configuration, source: str
    ) -> None:
        offer = self._config_replica.build_latest_offer()
        if offer is not None:
            for host in self._choose_targets(source):
                self._network.send(host, offer)

    def _spread(self, fresh: list[facts.Fact], source: str | None) -> None:
        if not fresh:
            return
        message = messages.Facts(self._fact_table.digest, fresh, False)
        for host in self._choose_targets(source):
            self._network.send(host, message)

    def _choose_targets(self, source: str | None) -> list[str]:
        linked = self._network.list_linked()
        places = self._places
        if places is None or source not in places.hosts:
            return [host for host in linked if host != source]
        me = places.hosts.get(self._network.host)
        if me is None:
            return []
        from_near = places.hosts[source].data_centre == me.data_centre
        return [
            host
            for host in linked
            if host != source
            and host in places.hosts
            and (places.hosts[host].data_centre == me.data_centre) != from_near
        ]
