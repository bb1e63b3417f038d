"""Batch jobs: taking, keeping, reading, handing over and forgetting them."""
