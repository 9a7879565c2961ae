"""Sweeps of what the program costs by size; docs/CAPACITY.md shows the results (docs/lab.md, scale)."""
