"""Dissemination of configurations and facts between hosts."""

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
"""Up to this many hosts, each host keeps a link to every other."""

STORE_SOURCE = "store"


def choose_peers(fleet: fleet.Fleet, host: str) -> set[str]:
    """Return the hosts to keep links to.

    In a larger fleet these are the hosts of the same data centre and, for
    each other data centre, one pair of hosts that both sides agree on.
    """
    entry = fleet.hosts.get(host)
    if entry is None or len(fleet.hosts) <= MAX_FULL_MESH_HOSTS:
        return set(fleet.hosts) - {host}
    own = fleet.data_centres[entry.data_centre]
    peers = set(own.hosts) - {host}
    for centre in fleet.data_centres.values():
        if centre is own or not centre.hosts:
            continue
        pair = "~".join(sorted((own.name, centre.name)))
        if hashing.rank_members(pair, own.hosts)[0] == host:
            peers.add(hashing.rank_members(pair, centre.hosts)[0])
    return peers


class Disseminator:
    """Forwards configurations and facts to other hosts.

    Updates from the store or from this host are sent on all links. Updates
    from another data centre are sent to the hosts of this data centre.
    Updates from a host of this data centre have already been sent to its
    other hosts and are sent to the other data centres.

    Args:
        config_replica: This host's copy of the configuration.
        fact_table: Facts known to this host.
        network: Links to other hosts.
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
        self._fleet: fleet.Fleet | None = None
        config_replica.add_listener(self._forward_configuration)

    def apply(self, fleet: fleet.Fleet) -> None:
        """Set the fleet of a new configuration."""
        self._fleet = fleet

    def publish(self, fact: facts.Fact) -> None:
        """Merge a fact that originates here and send it to other hosts."""
        self._forward_facts(self._fact_table.merge([fact]), None)

    def handle_request(
        self, host: str, request: messages.ConfigurationRequest
    ) -> None:
        """Send the configuration to a host that requests it."""
        offer = self._config_replica.build_offer(
            request.revision, request.digest
        )
        if offer is not None:
            self._network.send(host, offer)

    def handle_offer(
        self, host: str, offer: messages.ConfigurationOffer
    ) -> None:
        """Accept a configuration; request it if a difference is not usable."""
        if (
            not self._config_replica.accept_offer(offer, host)
            and not offer.document
        ):
            self.request_configuration(host)

    def request_configuration(self, host: str) -> None:
        """Request the changes after the revision in force from a host."""
        self._network.send(
            host,
            messages.ConfigurationRequest(
                self._config_replica.revision, self._config_replica.digest
            ),
        )

    def handle_facts(self, host: str, message: messages.Facts) -> None:
        """Merge facts; send back all facts if the sender lacks some."""
        self._forward_facts(self._fact_table.merge(message.facts), host)
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
        """Request or send what a heartbeat shows to be out of date."""
        if heartbeat.revision > self._config_replica.revision:
            self.request_configuration(host)
        if heartbeat.fact_digest != self._fact_table.digest:
            self.send_facts(host, wants_reply=True)

    def _forward_configuration(
        self, configuration: model.Configuration, source: str
    ) -> None:
        offer = self._config_replica.build_latest_offer()
        if offer is not None:
            for host in self._choose_targets(source):
                self._network.send(host, offer)

    def _forward_facts(
        self, new_facts: list[facts.Fact], source: str | None
    ) -> None:
        if not new_facts:
            return
        message = messages.Facts(self._fact_table.digest, new_facts, False)
        for host in self._choose_targets(source):
            self._network.send(host, message)

    def _choose_targets(self, source: str | None) -> list[str]:
        linked = self._network.list_linked()
        fleet = self._fleet
        if fleet is None or source not in fleet.hosts:
            return [host for host in linked if host != source]
        own_entry = fleet.hosts.get(self._network.host)
        if own_entry is None:
            return []
        is_from_own_centre = (
            fleet.hosts[source].data_centre == own_entry.data_centre
        )
        return [
            host
            for host in linked
            if host != source
            and host in fleet.hosts
            and (fleet.hosts[host].data_centre == own_entry.data_centre)
            != is_from_own_centre
        ]
