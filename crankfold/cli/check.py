"""`crankfold check`: validates a configuration without serving."""

import sys

import click

from crankfold.cli.options import config_option
from crankfold.config import schema
from crankfold.config.parser import flatten_settings, read_routing_config, read_service_config
from crankfold.errors import ConfigError
from crankfold.routing.interface import Idempotency
from crankfold.service.config_file import parse_address, read_config
from crankfold.time_units import TICKS_PER_MILLISECOND

# The output uses the terms of the configuration guide.
IDEMPOTENCY_LABELS = {
    Idempotency.IDEMPOTENT: "repeatable",
    Idempotency.IDEMPOTENT_WITH_KEY: "tagged",
    Idempotency.NON_IDEMPOTENT: "once_only",
}


@click.command()
@config_option
def check(config: str) -> None:
    """Validate a configuration and print a summary of it, without serving."""
    try:
        document = read_config(config)
        schema.validate(document)
        settings = flatten_settings(document["settings"])
        routing = read_routing_config(settings)
        service = read_service_config(settings)
        parse_address(document["listen"], "listen")
        parse_address(document["discovery"], "discovery")
    except (ConfigError, ValueError) as error:
        click.echo(f"crankfold: {error}", err=True)
        sys.exit(1)
    for name, request_class in zip(service.request_classes.names, routing.request_classes, strict=True):
        click.echo(
            f"grade {name}: {IDEMPOTENCY_LABELS[request_class.idempotency]}, "
            f"expected in {request_class.latency_objective / TICKS_PER_MILLISECOND} ms, "
            f"cut off after {request_class.deadline / TICKS_PER_MILLISECOND} ms, "
            f"revenue {request_class.priority_weight}"
        )
    click.echo(
        f"zones: {', '.join(service.zones.names) or 'none'}; reports: "
        f"{', '.join(routing.report_fields) or 'none'}; dispatches a unit: {routing.max_attempts}"
    )
