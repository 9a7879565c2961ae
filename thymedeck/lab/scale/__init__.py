"""What the program costs by size: sweeps whose rows docs/CAPACITY.md is made of (docs/lab.md, scale)."""
