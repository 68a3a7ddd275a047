"""Configuration of routes, pools and service marks: models, checks, edits."""
