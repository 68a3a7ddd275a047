"""Mechanisms of the product's policy that experiments can switch off."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Which mechanisms are on; an ablation switches off one at a time."""

    learned_lengths: bool = True
    memory_forecast: bool = True
    corrected_load: bool = True
    late_binding: bool = True
    warmth: bool = True
    prefix_hints: bool = True
    fair_queue: bool = True
    priorities: bool = True
    shedding: bool = True
    relayed_progress: bool = True
    urgent_reserve: bool = True
