"""The demonstration program, and the embedded fleet that tests use too."""
