from crankfold.network.signals import note_renewals

note_renewals()  # before the rest is imported, which takes longer than it takes a fleet to be sent one

from crankfold.cli import main  # noqa: E402

main(prog_name="crankfold")
