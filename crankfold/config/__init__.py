"""What a dispatcher is told at start, turned into what decisions and sockets need; ids turned into places."""
