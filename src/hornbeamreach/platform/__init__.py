"""Translation between the users' platform and the product, and nothing else."""
