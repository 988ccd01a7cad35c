"""The program: `python -m crankfold`."""

from crankfold.network.signals import catch_early_signals

catch_early_signals()  # before the rest is imported: a SIGHUP that comes meanwhile would end the process

from crankfold.cli.main import main  # noqa: E402 - the import takes longer than a signal may wait

main(prog_name="crankfold")
