"""Marks of numbered requests, for the quarantine."""

from turmericyard_decisions.quarantine import request_marks


def marks(number: int, key: str = '') -> frozenset[str]:
    return request_marks('w', key or f'key-{number}', f'{number}'.encode())


def in_flight(numbers) -> frozenset[frozenset[str]]:
    return frozenset(marks(number) for number in numbers)
