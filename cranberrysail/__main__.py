"""Entry point of ``python -m cranberrysail``."""

from cranberrysail.cli import main

main()
