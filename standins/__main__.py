"""Run one stand-in until SIGTERM or SIGINT.

Usage:
  standins platform [--listen ADDRESS] [--host-list-lag S]
                    [--weights-per-s N] [--weight-ms MS]
  standins engine [--listen ADDRESS] [--name NAME] [--models NAMES]
                  [--role ROLE] [--version VERSION] [--seed N]
                  [--capacity N] [--token-interval-ms MS] [--prefill-ms MS]
                  [--prefill-ms-per-token MS] [--cache-entries N]
                  [--no-check-fencing] [--cache-event-lag-ms MS]
                  [--cache-event-drop-ratio R] [--load-report-lag-ms MS]
                  [--detach-grace-s S] [--record FILE]
  standins application [--listen ADDRESS] [--name NAME] [--seed N]
  standins store [--listen ADDRESS]
  standins model-server [--listen ADDRESS] [--name NAME] [--record FILE]
  standins link --to ADDRESS [--listen ADDRESS] [--control ADDRESS]

Options:
  --listen ADDRESS            IP and port; port 0 picks a free port
                              [default: 127.0.0.1:0].
  --control ADDRESS           IP and port of a link's /control
                              [default: 127.0.0.1:0].
  --to ADDRESS                Target of a link.
  --host-list-lag S           Delay of the host list [default: 0].
  --weights-per-s N           Weight transfers per second [default: 4].
  --weight-ms MS              Duration of a transfer [default: 100].
  --name NAME                 Name of the server [default: standin].
  --models NAMES              Loaded models, separated by commas
                              [default: narrative].
  --role ROLE                 Initial role [default: mixed].
  --version VERSION           Initial version [default: 1].
  --seed N                    Seed of random failures [default: 0].
  --capacity N                Runs that decode concurrently [default: 16].
  --token-interval-ms MS      Interval of batch steps [default: 20].
  --prefill-ms MS             Prefill time of each run [default: 0].
  --prefill-ms-per-token MS   Prefill time per token that is not cached
                              [default: 0].
  --cache-entries N           Contexts in the prefix cache [default: 64].
  --no-check-fencing          Apply orders with old fencing numbers.
  --cache-event-lag-ms MS     Delay of cache events [default: 0].
  --cache-event-drop-ratio R  Share of cache events that are dropped
                              [default: 0].
  --load-report-lag-ms MS     Delay of load reports [default: 0].
  --detach-grace-s S          Seconds that a run without a caller continues
                              [default: 5].
  --record FILE               File to which each run is appended.
"""

import asyncio
import os
from pathlib import Path
from typing import Any

from docopt import docopt
from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback

from standins import (
    control,
    engine_calls,
    model_servers,
    platform,
    serving,
    stores,
)
from standins.applications import PlainService, make_service_application
from standins.engines import REPORT_PERIOD_S, Engine, EngineSettings
from standins.faults import EngineSwitches
from standins.links import Link


async def run_platform(options: dict[str, Any]) -> None:
    """Serve the platform."""
    switches = platform.PlatformSwitches(
        host_list_lag_s=float(options['--host-list-lag']),
        weights_per_s=float(options['--weights-per-s']),
        weight_ms=float(options['--weight-ms']),
    )
    standin = platform.Platform(switches)
    application = platform.make_platform_application(standin)
    await serving.serve(application, options['--listen'])


async def run_engine(options: dict[str, Any]) -> None:
    """Serve an engine and run its batch steps."""
    engine = make_engine(options)
    reports = PeriodicCallback(
        lambda: engine_calls.store_report(engine),
        REPORT_PERIOD_S * control.MS_PER_S,
    )
    reports.start()
    application = engine_calls.make_engine_application(engine)
    with Path(options['--record'] or os.devnull).open('a') as record_file:
        engine.record_file = record_file
        async with asyncio.TaskGroup() as group:
            steps = group.create_task(engine.run_steps())
            await serving.serve(application, options['--listen'])
            steps.cancel()
    reports.stop()


def make_engine(options: dict[str, Any]) -> Engine:
    """Return the engine that the options describe."""
    settings = EngineSettings(
        name=options['--name'],
        models=options['--models'].split(','),
        role=options['--role'],
        version=options['--version'],
        seed=int(options['--seed']),
        capacity=int(options['--capacity']),
        prefill_ms_per_token=float(options['--prefill-ms-per-token']),
        cache_entries=int(options['--cache-entries']),
        detach_grace_s=float(options['--detach-grace-s']),
    )
    switches = EngineSwitches(
        token_interval_ms=float(options['--token-interval-ms']),
        prefill_ms=float(options['--prefill-ms']),
        cache_event_lag_ms=float(options['--cache-event-lag-ms']),
        cache_event_drop_ratio=float(options['--cache-event-drop-ratio']),
        load_report_lag_ms=float(options['--load-report-lag-ms']),
        check_fencing=not options['--no-check-fencing'],
    )
    return Engine(settings, switches)


async def run_application(options: dict[str, Any]) -> None:
    """Serve the plain service."""
    service = PlainService(options['--name'], int(options['--seed']))
    application = make_service_application(service)
    await serving.serve(application, options['--listen'])


async def run_store(options: dict[str, Any]) -> None:
    """Serve the metadata store of the users' platform."""
    application = stores.make_store_application(stores.Store())
    await serving.serve(application, options['--listen'])


async def run_model_server(options: dict[str, Any]) -> None:
    """Serve a backend server of the users' platform."""
    with Path(options['--record'] or os.devnull).open('a') as record_file:
        server = model_servers.ModelServer(options['--name'], record_file)
        application = model_servers.make_model_application(server)
        await serving.serve(application, options['--listen'])


async def run_link(options: dict[str, Any]) -> None:
    """Forward connections; serve `/control` on a separate port."""
    link = Link(options['--to'])
    sockets = serving.open_sockets(options['--listen'])
    link.add_sockets(sockets)
    control_sockets = serving.open_sockets(options['--control'])
    server = HTTPServer(control.make_application(link, []))
    server.add_sockets(control_sockets)
    host, port = control_sockets[0].getsockname()
    serving.announce(sockets, control=f'{host}:{port}')
    await serving.wait_for_signal()


def main() -> None:
    """Run the stand-in named on the command line."""
    options = docopt(__doc__)
    commands = {
        'platform': run_platform,
        'engine': run_engine,
        'application': run_application,
        'link': run_link,
        'store': run_store,
        'model-server': run_model_server,
    }
    chosen = next(name for name in commands if options[name])
    asyncio.run(commands[chosen](options))


if __name__ == '__main__':
    main()
