from crankfold.cli import main

main(prog_name="crankfold")
