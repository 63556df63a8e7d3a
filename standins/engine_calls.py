"""HTTP handlers of the engine protocol, on the side of the engine."""

import time
from typing import Any

from tornado.web import Application, HTTPError

from standins import control, records
from standins.batches import AttemptKey, Run
from standins.engines import REPORT_PERIOD_S, Engine

CONFLICT = 409
NOT_FOUND = 404
OK = 200


class EngineHandler(control.ProtocolHandler):
    """A call to an engine."""

    standin: Engine

    async def prepare(self) -> None:
        """Apply the switches; a dead engine resets the connection."""
        await super().prepare()
        if self.standin.switches.dead and not self._finished:
            self.drop_connection()

    def read_body(self) -> dict[str, Any]:
        """Return the body; answer 400 if the attempt is incomplete."""
        body = self.read_json()
        missing = {'generation', 'epoch', 'attempt'} - set(body)
        if missing:
            raise HTTPError(control.BAD_REQUEST, log_message=str(missing))
        return body

    def is_current(self, generation: str, epoch: int) -> bool:
        """Return whether no higher epoch is known; answer 409 if one is."""
        current = self.standin.update_epoch(generation, epoch)
        if not current:
            self.answer(CONFLICT, {'code': 'stale_epoch'})
        return current


class GenerateHandler(EngineHandler):
    """Start a run, from a prefix if one is given."""

    def post(self) -> None:
        """Start a run and stream it."""
        body = self.read_body()
        key = read_key(body)
        if not self.is_current(key.generation, key.epoch):
            return
        model = body.get('model')
        if model and model not in self.standin.state.models:
            self.answer(control.UNAVAILABLE, {'code': 'model_not_loaded'})
        elif key in self.standin.runs_by_key:
            self.answer(CONFLICT, {'code': 'duplicate_attempt'})
        else:
            self.standin.accept(read_run(key, body), self.detach())


class ReattachHandler(EngineHandler):
    """Continue a run that the engine still has."""

    def post(self) -> None:
        """Stream the run from an offset under a new attempt."""
        body = self.read_body()
        old_key = read_key(body)
        key = AttemptKey(
            old_key.generation,
            body['new_epoch'],
            body['new_attempt'],
        )
        if not self.is_current(key.generation, key.epoch):
            return
        run = self.standin.runs_by_key.get(old_key)
        offset = body['offset']
        if run is None or offset > run.offset:
            self.answer(NOT_FOUND, {'code': 'unknown_attempt'})
            return
        self.standin.reattach(run, key, self.detach(), offset)


class CancelHandler(EngineHandler):
    """End a run."""

    def post(self) -> None:
        """Cancel an attempt."""
        cancelled = self.standin.cancel(read_key(self.read_body()))
        self.answer(OK, {'cancelled': cancelled})


class LoadHandler(EngineHandler):
    """Report the load, delayed by `load_report_lag_ms`."""

    def get(self) -> None:
        """Answer with the delayed report."""
        self.answer(OK, read_report(self.standin, time.monotonic()))


class CacheEventsHandler(EngineHandler):
    """Report changes of the prefix cache, delayed and with gaps."""

    def get(self) -> None:
        """Answer with the events after a number."""
        engine = self.standin
        switches = engine.switches
        lag_s = switches.cache_event_lag_ms / control.MS_PER_S
        page = engine.feed.read(
            int(self.get_argument('after', '0')),
            time.monotonic() - lag_s,
            switches.cache_event_drop_ratio,
        )
        self.answer(OK, {'incarnation': engine.incarnation, **page})


class OrdersHandler(EngineHandler):
    """Apply an order, unless its fencing number is stale and checked."""

    def post(self) -> None:
        """Apply an order and answer with the load."""
        order = self.read_json()
        engine = self.standin
        fencing = int(order.get('fencing', 0))
        is_stale = fencing < engine.state.fencing
        refused = is_stale and engine.switches.check_fencing
        engine.state.orders.append({**order, 'obeyed': not refused})
        if refused:
            self.answer(CONFLICT, {'code': 'stale_fencing'})
            return
        engine.state.fencing = max(engine.state.fencing, fencing)
        if not apply_order(engine, order['order'], order['name']):
            raise HTTPError(control.BAD_REQUEST)
        self.answer(OK, describe_load(engine))


def apply_order(engine: Engine, order: str, name: str) -> bool:
    """Apply an order to an engine; return False if it is unknown."""
    state = engine.state
    match order:
        case 'load':
            state.models = sorted({*state.models, name})
        case 'unload':
            state.models = [model for model in state.models if model != name]
        case 'role':
            state.role = name
        case 'version':
            state.version = name
        case _:
            return False
    return True


def read_key(body: dict[str, Any]) -> AttemptKey:
    """Return the attempt that a body names."""
    return AttemptKey(body['generation'], body['epoch'], body['attempt'])


def read_run(key: AttemptKey, body: dict[str, Any]) -> Run:
    """Return the run that a body requests."""
    return Run(
        key=key,
        prompt=body.get('prompt', ''),
        prefix=tuple(body.get('prefix', ())),
        max_tokens=body.get('max_tokens', 1),
        priority=body.get('priority', 0),
        client_account=body.get('client_account', ''),
        nonce='',
        seed=body.get('seed') or 0,
    )


def describe_load(engine: Engine) -> dict[str, Any]:
    """Return the engine's current load."""
    batch = engine.batch
    waiting = batch.waiting
    active_runs = (*batch.running, *waiting)
    return {
        'backend_server': engine.settings.name,
        'incarnation': engine.incarnation,
        'capacity': batch.capacity,
        'running': len(batch.running),
        'waiting': len(waiting),
        'models': engine.state.models,
        'role': engine.state.role,
        'version': engine.state.version,
        'fencing': engine.state.fencing,
        'state': 'leaving' if engine.switches.leaving else 'active',
        'report_age_s': 0,
        'attempts': [records.describe_attempt(run) for run in active_runs],
    }


def read_report(engine: Engine, now: float) -> dict[str, Any]:
    """Return the newest report that is at least as old as the lag.

    The oldest report if none is, and the current load without a lag.
    """
    lag_s = engine.switches.load_report_lag_ms / control.MS_PER_S
    if lag_s <= 0 or not engine.reports:
        return describe_load(engine)
    delayed = engine.reports[0]
    for report in engine.reports:
        if report.taken_s <= now - lag_s:
            delayed = report
    return {**delayed.body, 'report_age_s': now - delayed.taken_s}


def store_report(engine: Engine) -> None:
    """Store the current load for delayed reports, and remove old ones."""
    lag_s = engine.switches.load_report_lag_ms / control.MS_PER_S
    reports = engine.reports
    if lag_s <= 0 or engine.switches.dead or engine.switches.freeze:
        return
    now = time.monotonic()
    reports.append(records.LoadReport(now, describe_load(engine)))
    while reports[0].taken_s < now - lag_s - 2 * REPORT_PERIOD_S:
        reports.popleft()


def make_engine_application(engine: Engine) -> Application:
    """Return the engine's HTTP application."""
    routes = [
        ('/v1/generate', GenerateHandler),
        ('/v1/reattach', ReattachHandler),
        ('/v1/cancel', CancelHandler),
        ('/v1/load', LoadHandler),
        ('/v1/cache-events', CacheEventsHandler),
        ('/v1/orders', OrdersHandler),
    ]
    return control.make_application(engine, routes)
