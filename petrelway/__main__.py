"""`python -m petrelway` does what the script `petrelway` does."""

from .commands import main

main()
