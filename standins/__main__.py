"""Start one stand-in as a process.

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
  --listen ADDRESS            IP and port, port 0 takes a free one
                              [default: 127.0.0.1:0].
  --control ADDRESS           Where a link takes its switches
                              [default: 127.0.0.1:0].
  --to ADDRESS                Where a link leads.
  --host-list-lag S           Seconds the host list is late [default: 0].
  --weights-per-s N           Transfers a second [default: 4].
  --weight-ms MS              Length of a transfer [default: 100].
  --name NAME                 Name of the server [default: standin].
  --models NAMES              Loaded models, by comma [default: narrative].
  --role ROLE                 Role at the start [default: mixed].
  --version VERSION           Version at the start [default: 1].
  --seed N                    Seed of what fails by chance [default: 0].
  --capacity N                Runs that decode at once [default: 16].
  --token-interval-ms MS      Time of a batch step [default: 20].
  --prefill-ms MS             Prefill of every run [default: 0].
  --prefill-ms-per-token MS   Prefill for tokens not cached [default: 0].
  --cache-entries N           Contexts that the cache holds [default: 64].
  --no-check-fencing          Obey orders with old fencing numbers.
  --cache-event-lag-ms MS     Lateness of cache events [default: 0].
  --cache-event-drop-ratio R  Part of cache events never told [default: 0].
  --load-report-lag-ms MS     Lateness of load reports [default: 0].
  --detach-grace-s S          How long a run without caller goes on
                              [default: 5].
  --record FILE               Append the start of each run to a file.
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
    """Serve and step an engine."""
    engine = make_engine(options)
    reports = PeriodicCallback(
        lambda: engine_calls.take_report(engine),
        REPORT_PERIOD_S * control.MS_PER_S,
    )
    reports.start()
    application = engine_calls.make_engine_application(engine)
    with Path(options['--record'] or os.devnull).open('a') as log:
        engine.log = log
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
    """Serve the platform's metadata store."""
    application = stores.make_store_application(stores.Store())
    await serving.serve(application, options['--listen'])


async def run_model_server(options: dict[str, Any]) -> None:
    """Serve a backend server of the platform."""
    with Path(options['--record'] or os.devnull).open('a') as log:
        server = model_servers.ModelServer(options['--name'], log)
        application = model_servers.make_model_application(server)
        await serving.serve(application, options['--listen'])


async def run_link(options: dict[str, Any]) -> None:
    """Forward connections, and take switches on a port of their own."""
    link = Link(options['--to'])
    sockets = serving.open_sockets(options['--listen'])
    link.add_sockets(sockets)
    switching = serving.open_sockets(options['--control'])
    server = HTTPServer(control.make_application(link, []))
    server.add_sockets(switching)
    host, port = switching[0].getsockname()
    serving.announce(sockets, control=f'{host}:{port}')
    await serving.stopped()


def main() -> None:
    """Run the stand-in named on the command line until a signal."""
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
