"""Runs the command line: `python -m crankfold`."""

from crankfold.network.signals import catch_early_signals

catch_early_signals()  # before the other imports, during which a SIGHUP would end the process

from crankfold.cli.main import main  # noqa: E402 - signals are caught before this import, which takes long

main(prog_name="crankfold")
