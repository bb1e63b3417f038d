"""Items of batch jobs at the engines, and what their runs show of engines."""
