from crankfold.network.signals import catch_reload_signal

catch_reload_signal()  # before the rest is imported, which takes longer than it takes a fleet to be sent one

from crankfold.cli.main import main  # noqa: E402

main(prog_name="crankfold")
