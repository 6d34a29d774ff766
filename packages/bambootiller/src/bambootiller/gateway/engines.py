"""An entry's streams to the agents beside the engines."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from bambootiller.app import Application
from bambootiller.gateway import message_codec
from bambootiller.gateway.allocator_client import (
    REVIEW_INTERVAL_S as ALLOCATOR_REVIEW_INTERVAL_S,
    AllocatorClient,
)
from bambootiller.gateway.engine_plans import EnginePlans
from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.exchange import (
    UPDATE_INTERVAL_S,
    Exchanger,
    PeerStream,
    Update,
)
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller.gateway.quarantine import Quarantine
from bambootiller.gateway.server_limits import ServerLimits
from bambootiller.gateway.stream_reports import AgentReport, SentReport
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.gateway.crash_ledger import AdmissionDecision
from bambootiller_core.gateway.demand_collection import collectors
from bambootiller_core.gateway.document_propagation import entry_rank
from bambootiller_core.gateway.fleet import AGENT_TIMEOUT_S, Backend
from bambootiller_core.gateway.log_lines import BackendRemoved, LogLine
from bambootiller_core.gateway.order_messages import LoadRequest
from bambootiller_core.gateway.wakeups import wakes_waiting_calls

#: Interval between two reviews, which open streams for new engines and close those for
#: removed ones. Seconds.
REVIEW_INTERVAL_S = 0.25


@dataclass(slots=True)
class _Link:
    """The stream to the agent beside one engine."""

    task: asyncio.Task
    instance: str
    load_requests: dict[tuple[str, str], LoadRequest] = field(default_factory=dict)


class Engines:
    """Keeps a stream to each agent, and sends the load requests of the
    :attr:`plans`."""

    def __init__(
        self,
        app: Application,
        gateway_state: GatewayState,
        exchanger: Exchanger,
        events: EventLog,
        agent_port: int,
        allocator_client: AllocatorClient,
    ) -> None:
        self._allocator_client = allocator_client
        self._app = app
        self._gateway_state = gateway_state
        self._exchanger = exchanger
        self._events = events
        self._agent_port = agent_port
        self._links: dict[str, _Link] = {}
        self._collectors: dict[str, list[str]] = {}
        self.quarantine = Quarantine(
            gateway_state, events, app.now, self._notify_collectors
        )
        self.server_limits = ServerLimits(events, app.now, self._notify_limits)
        self.plans = EnginePlans(
            app, gateway_state, self.request_load, self._emit, self._admits_load
        )
        self._reachability: list[tuple[str, bool, bool]] = []

    def start(self) -> None:
        """Starts the timers for reviews, reports and plans."""
        now = self._app.now()
        self._app.timers.every("engine links", REVIEW_INTERVAL_S, now, self._review)
        self._app.timers.every("figures", UPDATE_INTERVAL_S, now, self._send_changes)
        self.plans.start(now)
        self.quarantine.start(self._app.timers, now)
        self.server_limits.start(self._app.timers, now, self._gateway_state.fleet)
        self._allocator_client.start(self._app.timers, now)
        self._app.timers.every(
            "allocator", ALLOCATOR_REVIEW_INTERVAL_S, now, self._find_allocator
        )

    def _emit(self, line: LogLine) -> None:
        self._events.emit(line)

    def request_load(self, backend: Backend, load_request: LoadRequest) -> bool:
        """Queues a load request for the agent beside the engine. Returns False if there
        is no stream to it, or if loads of the model are suspected of crashing engines
        and not admitted now."""
        if not load_request.adapter and not self._admits_load(load_request.model):
            return False
        link = self._links.get(backend.registration.host)
        if link is None:
            return False
        link.load_requests[(load_request.model, load_request.adapter)] = load_request
        self._exchanger.send_now_to(self._address(backend.registration.host))
        return True

    def _admits_load(self, model: str) -> bool:
        admission = self.quarantine.load_admission(model)
        return admission.decision is AdmissionDecision.ADMITTED

    def stream_count(self) -> int:
        """Number of streams that are kept open to agents."""
        return len(self._links)

    def has_collector_reports(self) -> bool:
        """Whether the agent of a collector of each service has been heard from lately,
        as far as engines of the service are listed. Collectors report what all entries
        need to know."""
        config, now = self._gateway_state.config, self._app.now()
        engines: dict[str, dict[str, Backend]] = {}
        for backend in self._gateway_state.fleet:
            service = config.services.get(backend.registration.service)
            if service is not None and service.engine is not None:
                by_host = engines.setdefault(service.name, {})
                by_host[backend.registration.host] = backend
        return all(
            any(
                by_host[host].agent_responsive(now)
                for host in collectors(name, by_host)
            )
            for name, by_host in engines.items()
        )

    def stop(self) -> None:
        """Closes all streams."""
        for link in self._links.values():
            link.task.cancel()
        self._links.clear()

    def _review(self, now: float) -> None:
        for instance in self._gateway_state.fleet.sweep(now):
            self._events.emit(BackendRemoved(instance, "missing_after_outage"))
        backends_by_host = {}
        config = self._gateway_state.config
        if config is None:
            return
        for backend in self._gateway_state.fleet:
            service = config.services.get(backend.registration.service)
            if service is not None and service.engine is not None:
                backends_by_host[backend.registration.host] = backend
        for host in list(self._links):
            if host not in backends_by_host:
                self._links.pop(host).task.cancel()
        for host, backend in backends_by_host.items():
            if host not in self._links:
                self._open_stream(host, backend)
            self._links[host].instance = backend.instance
        self._apply_earlier_reports(now)
        reachability = [
            (host, backend.agent_responsive(now), backend.is_lost(now))
            for host, backend in backends_by_host.items()
        ]
        if reachability != self._reachability:
            self._reachability = reachability
            self.plans.changed(now)
            self._choose_collectors(now, backends_by_host)

    def _apply_earlier_reports(self, now: float) -> None:
        """Applies the report of an agent whose engine was listed only after the report
        came: the agent doesn't repeat it."""
        for peer_stream in self._exchanger.streams():
            agent_report = peer_stream.report
            if not isinstance(agent_report, AgentReport) or agent_report.state is None:
                continue
            backend = self._gateway_state.fleet.get(agent_report.state.instance)
            if backend is None or backend.engine is agent_report.state:
                continue
            if now - peer_stream.last_received_at < AGENT_TIMEOUT_S:
                self._apply_report(
                    peer_stream.last_received_at, agent_report, peer_stream.peer, False
                )

    def _choose_collectors(
        self, now: float, backends_by_host: dict[str, Backend]
    ) -> None:
        responsive_hosts: dict[str, list[str]] = {}
        for host, backend in backends_by_host.items():
            if backend.agent_responsive(now):
                responsive_hosts.setdefault(backend.registration.service, []).append(
                    host
                )
        self._collectors = {
            service: collectors(service, hosts)
            for service, hosts in responsive_hosts.items()
        }

    def _address(self, host: str) -> str:
        return f"{host}:{self._agent_port}"

    def _open_stream(self, host: str, backend: Backend) -> None:
        stream = self._exchanger.keep_open(
            self._address(host),
            lambda update, peer_stream: self._fill(host, update, peer_stream),
            self.received,
            lambda: entry_rank(self._app.instance, host, self.plans.entries),
        )
        task = asyncio.get_running_loop().create_task(stream)
        self._links[host] = _Link(task, backend.instance)

    def _notify_collectors(self) -> None:
        for host in self._collector_hosts():
            self._exchanger.send_now_to(self._address(host))

    def _notify_limits(self) -> None:
        self._notify_collectors()
        allocator = self._allocator_client.allocator
        if allocator is not None:
            allocator.send_now()

    def _find_allocator(self, now: float) -> None:
        if self._allocator_client.lacks_allocator:
            self._notify_collectors()

    def _collector_hosts(self) -> set[str]:
        """Hosts of the agents that collect what all entries need to know."""
        return {host for hosts in self._collectors.values() for host in hosts}

    def _fill(self, host: str, update: Update, peer_stream: PeerStream) -> None:
        if host in self._collector_hosts():
            self.quarantine.fill(update, peer_stream, own=True)
            update.lacks_allocator = self._allocator_client.lacks_allocator
        if (
            host in self._collector_hosts()
            or peer_stream is self._allocator_client.allocator
        ):
            self.server_limits.fill(update, peer_stream, own=True)
        self._allocator_client.fill(update, peer_stream)
        link = self._links.get(host)
        backend = link and self._gateway_state.fleet.get(link.instance)
        if not backend:
            return
        if self._needs_update(backend, peer_stream):
            last_sent = self._current_report(backend)
            peer_stream.last_sent["entry"] = last_sent
            update.entry.CopyFrom(last_sent.message())
        for load_request in link.load_requests.values():
            message_codec.add_load_request(update, load_request)
        link.load_requests.clear()

    def _send_changes(self, now: float) -> None:
        """Schedules updates to the agents for which the entry's report has changed."""
        for host, link in self._links.items():
            peer_stream = self._exchanger.stream_to(self._address(host))
            backend = self._gateway_state.fleet.get(link.instance)
            if peer_stream is None or backend is None:
                continue
            if self._needs_update(backend, peer_stream):
                peer_stream.send_later()

    def _needs_update(self, backend: Backend, peer_stream: PeerStream) -> bool:
        """Whether the agent has to be sent a new report."""
        last_sent: SentReport | None = peer_stream.last_sent.get("entry")
        demands = self.plans.own_demands(backend.registration.service)
        is_collector = self._is_collector(backend)
        now = self._app.now()
        return last_sent is None or last_sent.is_outdated(
            now, demands, backend, is_collector
        )

    def _current_report(self, backend: Backend) -> SentReport:
        demands = self.plans.own_demands(backend.registration.service)
        return SentReport.now(
            self._app.now(), demands, backend, self._is_collector(backend)
        )

    def _is_collector(self, backend: Backend) -> bool:
        registration = backend.registration
        return registration.host in self._collectors.get(registration.service, ())

    def report_for(self, backend: Backend) -> pb.EntryFigures:
        """The entry's current report to the agent beside the engine."""
        return self._current_report(backend).message()

    def received(self, update: Update, peer_stream: PeerStream | None = None) -> None:
        """Handles a message of an agent. What it reported before on the same stream
        stays valid unless this message replaces it."""
        agent_report = AgentReport.after(
            update, peer_stream.report if peer_stream else None
        )
        if peer_stream is not None:
            peer_stream.report = agent_report
        if peer_stream is not None:
            self.quarantine.take(update, peer_stream)
            self.server_limits.take(update, peer_stream)
            self._allocator_client.take(update, peer_stream)
        if update.collected:
            self.plans.changed(self._app.now())
        source = peer_stream.peer if peer_stream is not None else update.sender
        is_new = update.HasField("engine")
        self._apply_report(self._app.now(), agent_report, source, is_new)

    def _apply_report(
        self, now: float, agent_report: AgentReport, source: str, is_new: bool
    ) -> None:
        if agent_report.entries:
            self.plans.entries = agent_report.entries
        if agent_report.state is None:
            return
        fleet = self._gateway_state.fleet
        backend = fleet.get(agent_report.state.instance)
        if backend is not None and agent_report.totals is not None:
            service, host = backend.registration.service, backend.registration.host
            self.plans.totals_reported(now, service, host, agent_report.totals)
        if backend is None:
            return
        if not is_new and agent_report.state.incarnation.precedes(backend.incarnation):
            # A heartbeat confirms nothing about a start of the engine that has ended.
            return
        is_changed = backend.engine is not agent_report.state
        wakes_calls = wakes_waiting_calls(backend, agent_report.state)
        if fleet.engine_reported(now, agent_report.state) and is_changed:
            if backend.replaced:
                self._gateway_state.log_restart(backend, source)
            self.plans.changed(now)
            self.plans.agent_reported(now, fleet.get(agent_report.state.instance))
            if wakes_calls:
                self._gateway_state.changed.notify()
