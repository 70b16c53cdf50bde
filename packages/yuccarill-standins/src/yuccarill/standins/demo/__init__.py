"""The demonstration: the main job on stand-ins, and what was counted."""
