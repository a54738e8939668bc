"""Records what upstreams say of themselves in their answers."""

import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import inventory
from cicadahook.core import upstream_statements
from cicadahook.net import logs
from cicadahook.net import metrics

logger: Final = logs.create_logger("node")


class StatementRecorder:
    """Records statements, and logs and counts their changes.

    Attributes:
        statements: what upstreams say of themselves.
        clock: the time.
        node: name of the node, for metrics.
    """

    def __init__(
        self,
        statements: upstream_statements.UpstreamStatements,
        clock: clock_lib.Clock,
        node: str,
    ) -> None:
        self.statements = statements
        self.clock = clock
        self.node = node

    def record(
        self,
        instance: inventory.Instance,
        statement: upstream_statements.Statement,
        sent: datetime.datetime,
    ) -> None:
        """Record what an answer says of its upstream."""
        changed = self.statements.record_answer(
            instance, statement, self.clock.now(), sent
        )
        for field in sorted(changed):
            metrics.count_statement_change(field, self.node)
            logger.info(
                "Upstream changed what it says of itself.",
                extra={
                    "instance": instance.id,
                    "service": instance.service,
                    "statement": field,
                    "value": logs.describe_value(getattr(statement, field)),
                },
            )
