"""Schedule the samples of trainers' steps and track their delivery."""
