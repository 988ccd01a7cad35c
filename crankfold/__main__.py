"""The program: `python -m crankfold`."""

from crankfold.network.signals import catch_reload_signal

catch_reload_signal()  # before the rest is imported: a SIGHUP that comes meanwhile would end the process

from crankfold.cli.main import main  # noqa: E402 - the import takes longer than a signal may wait

main(prog_name="crankfold")
