"""Engine model, stand-ins, load generator and experiments."""
