"""Reads the operator's orders to move services."""

from __future__ import annotations

import logging

from celerywharf.exceptions import ProtocolError
from celerywharf.platform import Row, decode_order, ordered_service
from celerywharf.rollouts import RolloutOrder, RolloutRegister
from celerywharf.routing import ConfigurationCache

logger = logging.getLogger(__name__)


class OrderReader:
    """Passes orders on to the register; what cannot be read changes nothing.

    Attributes:
        register: learns the orders.
        configuration_cache: tells which services there are.
        unreadable: version of the row with an unreadable order, by service.
        unlisted: version of the row with the order, by service that the
            configuration does not have.
    """

    def __init__(
        self, register: RolloutRegister, configuration_cache: ConfigurationCache
    ) -> None:
        self.register = register
        self.configuration_cache = configuration_cache
        self.unreadable: dict[str, int] = {}
        self.unlisted: dict[str, int] = {}

    def apply_rows(
        self, rows: list[Row], *, is_whole: bool, store_s: float
    ) -> None:
        """Learn the orders among rows of the operator's table.

        Those of services that the configuration does not have wait for it.

        Args:
            rows: the rows of a reading.
            is_whole: orders that are not among the rows do not exist.
            store_s: when the store answered, on its clock, seconds.
        """
        named = {ordered_service(row.key): row for row in rows}
        if is_whole:
            for service in self.register.services.keys() - named.keys():
                self._withdraw(service)
        for service, row in named.items():
            if service is None:
                continue
            if row.removed:
                self._withdraw(service)
            else:
                self._learn(service, row, store_s)
        self._check_services(store_s)

    def _learn(self, service: str, row: Row, store_s: float) -> None:
        try:
            order = decode_order(row, store_s)
        except ProtocolError as error:
            self._refuse(service, row, error.message)
            return
        if self._known(service) == order or not self.register.is_enabled:
            return
        logger.info(
            'roll-out ordered',
            extra={
                'service': service,
                'to': order.to,
                'period_s': order.period_s,
                'order_version': order.version,
            },
        )
        self.register.set_order(
            service,
            order,
            is_listed=self.configuration_cache.has_service(service),
        )

    def _check_services(self, store_s: float) -> None:
        for service, state in self.register.services.items():
            if state.order is None:
                continue
            is_listed = self.configuration_cache.has_service(service)
            self.register.set_listed(service, store_s, is_listed=is_listed)
            if not is_listed:
                self._report_unlisted(state.order)

    def _report_unlisted(self, order: RolloutOrder) -> None:
        """Log once that an order waits for its service.

        Not before there is a configuration.
        """
        if (
            self.configuration_cache.configuration is not None
            and self.unlisted.get(order.service) != order.version
        ):
            self.unlisted[order.service] = order.version
            logger.warning(
                'roll-out of an unknown service',
                extra={'service': order.service, 'to': order.to},
            )

    def _withdraw(self, service: str) -> None:
        order = self._known(service)
        if order is not None:
            logger.info(
                'roll-out order withdrawn',
                extra={'service': service, 'to': order.to},
            )
            self.register.set_order(service, None)

    def _refuse(self, service: str, row: Row, reason: str) -> None:
        if self.unreadable.get(service) != row.version:
            self.unreadable[service] = row.version
            logger.error(
                'roll-out order unreadable',
                extra={'service': service, 'reason': reason},
            )

    def _known(self, service: str) -> RolloutOrder | None:
        state = self.register.services.get(service)
        return None if state is None else state.order
