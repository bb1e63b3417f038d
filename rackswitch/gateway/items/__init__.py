"""Running the items of batch jobs at engines, and measuring the load and pace of engines."""
