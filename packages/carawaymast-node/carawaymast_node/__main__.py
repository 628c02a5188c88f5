"""Start carawaymastd by ``python -m carawaymast_node``."""

from carawaymast_node import main

main.run()
