from tests.known_red import main

main()
