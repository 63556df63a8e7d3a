"""The engine's side of the engine protocol over HTTP."""

import time
from typing import Any

from tornado.web import Application, HTTPError

from standins import control, records
from standins.batches import AttemptKey, Run
from standins.engines import REPORT_PERIOD_S, Engine

CONFLICT = 409
NOT_FOUND = 404
OK = 200


class EngineHandler(control.OuterHandler):
    """A call to an engine: cut when the engine is dead."""

    standin: Engine

    async def prepare(self) -> None:
        """Suffer the switches; a dead engine resets the connection."""
        await super().prepare()
        if self.standin.switches.dead and not self._finished:
            self.cut()

    def read_body(self) -> dict[str, Any]:
        """Return the body, or answer 400 when a field is missing."""
        body = self.read_json()
        missing = {'generation', 'epoch', 'attempt'} - set(body)
        if missing:
            raise HTTPError(control.BAD_REQUEST, log_message=str(missing))
        return body

    def is_current(self, generation: str, epoch: int) -> bool:
        """Return whether the epoch is current; answer 409 if not."""
        current = self.standin.learn_epoch(generation, epoch)
        if not current:
            self.answer(CONFLICT, {'code': 'stale_epoch'})
        return current


class GenerateHandler(EngineHandler):
    """Start a run, from a prefix when one is given."""

    def post(self) -> None:
        """Stream a fresh run."""
        body = self.read_body()
        key = read_key(body)
        if not self.is_current(key.generation, key.epoch):
            return
        model = body.get('model')
        if model and model not in self.standin.state.models:
            self.answer(control.UNAVAILABLE, {'code': 'model_not_loaded'})
        elif key in self.standin.known:
            self.answer(CONFLICT, {'code': 'duplicate_attempt'})
        else:
            self.standin.accept(read_run(key, body), self.detach())


class ReattachHandler(EngineHandler):
    """Go on with a run that the engine still has."""

    def post(self) -> None:
        """Stream the run from an offset."""
        body = self.read_body()
        old_key = read_key(body)
        key = AttemptKey(
            old_key.generation,
            body['new_epoch'],
            body['new_attempt'],
        )
        if not self.is_current(key.generation, key.epoch):
            return
        run = self.standin.known.get(old_key)
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
    """Tell the load, as it was a while ago."""

    def get(self) -> None:
        """Answer with the lagging report."""
        self.answer(OK, read_report(self.standin, time.monotonic()))


class CacheEventsHandler(EngineHandler):
    """Tell changes of the prefix cache, late and with gaps."""

    def get(self) -> None:
        """Answer with the events after a number."""
        engine = self.standin
        switches = engine.switches
        lag_s = switches.cache_event_lag_ms / control.MS_PER_S
        told = engine.feed.read(
            int(self.get_argument('after', '0')),
            time.monotonic() - lag_s,
            switches.cache_event_drop_ratio,
        )
        self.answer(OK, {'incarnation': engine.incarnation, **told})


class OrdersHandler(EngineHandler):
    """Obey an order, unless its fencing number is checked and old."""

    def post(self) -> None:
        """Carry an order out and answer with the load."""
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
        if not obey(engine, order['order'], order['name']):
            raise HTTPError(control.BAD_REQUEST)
        self.answer(OK, describe_load(engine))


def obey(engine: Engine, order: str, name: str) -> bool:
    """Change an engine as ordered; return whether the order is known."""
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
    """Return the run that a body asks for."""
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
    """Return the engine's load at this moment."""
    batch = engine.batch
    waiting = batch.waiting
    working = (*batch.running, *waiting)
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
        'attempts': [records.describe_attempt(run) for run in working],
    }


def read_report(engine: Engine, now: float) -> dict[str, Any]:
    """Return the newest report that is at least as old as the lag."""
    lag_s = engine.switches.load_report_lag_ms / control.MS_PER_S
    if lag_s <= 0 or not engine.reports:
        return describe_load(engine)
    told = engine.reports[0]
    for report in engine.reports:
        if report.moment <= now - lag_s:
            told = report
    return {**told.body, 'report_age_s': now - told.moment}


def take_report(engine: Engine) -> None:
    """Keep a load report for when the lag is over."""
    lag_s = engine.switches.load_report_lag_ms / control.MS_PER_S
    reports = engine.reports
    if lag_s <= 0 or engine.switches.dead or engine.switches.freeze:
        return
    now = time.monotonic()
    reports.append(records.LoadReport(now, describe_load(engine)))
    while reports[0].moment < now - lag_s - 2 * REPORT_PERIOD_S:
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
