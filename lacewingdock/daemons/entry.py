"""Sets up and runs the entry daemon, which accepts callers' requests."""

from lacewingdock.components import (
    admin,
    answers,
    budgets,
    callers,
    cascades,
    configuration,
    language,
    leases,
    membership,
    orders,
    peers,
    quarantine,
    rollouts,
)
from lacewingdock.components.billing import entry as billing
from lacewingdock.components.callers import departures
from lacewingdock.components.callers.app import CallersApp
from lacewingdock.components.callers.chat import Chat
from lacewingdock.components.callers.relay import Relay
from lacewingdock.components.callers.services import ServiceCalls
from lacewingdock.components.callers.steps import Steps
from lacewingdock.components.exposure import watch
from lacewingdock.components.exposure.fleet import FleetJudge
from lacewingdock.components.metrics import entry as metrics
from lacewingdock.components.quarantine.loss_resolver import LossResolver
from lacewingdock.components.rollouts import emergency
from lacewingdock.core import Daemon
from lacewingdock.links.keys import load_keys
from lacewingdock.links.messages import Beat
from lacewingdock.platform.ratings import RatingService
from lacewingdock.settings import EntrySettings


def run_entry(settings: EntrySettings) -> int:
    """Run an entry until it is stopped.

    Returns:
        The number of callers whose requests were cut off by the stop.

    Raises:
        LacewingdockError: The entry can't start.
    """
    daemon = Daemon(settings)
    links = peers.setup(daemon)
    config = configuration.setup(daemon, links)
    links.beat = lambda: Beat(revision=config.revision)
    members = membership.setup(daemon, links, config, settings.subset)
    orders.setup(daemon, links, None)
    entry_leases = leases.setup(daemon, links, members)
    controller = rollouts.setup(
        daemon, config, members, entry_leases
    ).controller
    fleet_judge = FleetJudge(daemon.store, rated=bool(settings.ratings))
    controller.verdict = fleet_judge.verdict
    controller.levels = fleet_judge.levels
    controller.ended = fleet_judge.clean
    exposure_watch = watch.setup(
        daemon, config, lambda: max(members.entries, 1)
    )
    emergency_stop = emergency.setup(daemon, links, config)
    open_answers = answers.setup(daemon, links, members)
    emergency_stop.open = open_answers.open
    emergency_stop.on_note.append(exposure_watch.add_request)
    suspects = quarantine.setup(daemon, links, config)
    loss_resolver = LossResolver(links, members, suspects)
    bills = billing.setup(daemon, links, lambda: members.entries)
    spending = budgets.setup(
        daemon, config, open_answers, lambda: max(members.entries, 1)
    )
    relay = Relay(open_answers, members, suspects, daemon.random)
    ratings = RatingService(settings.ratings) if settings.ratings else None
    learner = cascades.setup(daemon, ratings)
    learner.wants = exposure_watch.wants
    learner.on_rating.append(exposure_watch.add_rating)
    watcher = departures.setup(daemon, open_answers)
    app = CallersApp(
        daemon,
        settings,
        config,
        Chat(
            config,
            relay,
            load_keys(settings.session_keys_file),
            Steps(relay, learner),
            spending,
        ),
        ServiceCalls(config, relay, spending),
        watcher,
    )
    entry_metrics = metrics.setup(
        daemon, settings, links, open_answers, ratings
    )
    port = callers.setup(daemon, settings, app, entry_metrics.observe)
    admin_port = admin.setup(
        daemon,
        config,
        lambda: any(u.link for u in tuple(members.upstreams.values())),
    )
    language.setup(daemon, admin_port, config, members, open_answers)
    started = (
        links,
        config,
        learner,
        exposure_watch,
        suspects,
        members,
        watcher,
        entry_leases,
        bills,
        spending,
        port,
        admin_port,
    )
    for component in started:
        component.start()
    loss_resolver.start(daemon)
    return daemon.run(port.active)
