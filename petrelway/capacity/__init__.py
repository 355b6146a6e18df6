"""How large a fleet the program can carry: measured slopes, a size, and the table that follows from both."""
