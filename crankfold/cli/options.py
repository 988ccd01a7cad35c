"""Options that several commands share."""

import click

from crankfold.document_names import DOCUMENTS, SETTINGS

MAX_WAIT_SECONDS = 60

config_option = click.option(
    "--config",
    envvar="GW_CONFIG",
    default="",
    show_envvar=True,
    help="The dispatcher's configuration, a JSON file.",
)
admin_option = click.option(
    "--door",
    "address",
    envvar="GW_ADMIN_ADDR",
    show_envvar=True,
    required=True,
    help="HOST:PORT of a dispatcher's admin server.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
document_option = click.option(
    "--doc",
    "document",
    default=SETTINGS,
    show_default=True,
    type=click.Choice(DOCUMENTS),
)
author_option = click.option("--author", envvar="USER", default="", show_envvar=True)
reason_option = click.option("--reason", default="", help="Reason, recorded in the history.")
required_reason_option = click.option("--reason", required=True)
wait_option = click.option(
    "--wait",
    "wait_seconds",
    type=click.FloatRange(0, MAX_WAIT_SECONDS),
    default=0.0,
    help="Seconds to wait until the version is active at each dispatcher.",
)
call_option = click.option(
    "--call",
    "call_id",
    default="",
    help="Identifier of the call; repeated calls with the same one take effect once. Random if not given.",
)
