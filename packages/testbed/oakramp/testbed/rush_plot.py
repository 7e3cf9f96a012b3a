"""A plot of the goodput of policies against the offered load, as an SVG file."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from xml.sax.saxutils import escape

SVG = "http://www.w3.org/2000/svg"
WIDTH, HEIGHT, MARGIN = 640, 400, 56  # pixels
COLOURS = ("#1b6ca8", "#2e8b57", "#c0392b", "#8e8e8e", "#8e44ad", "#d68910")
TICKS = 5  # of each axis


def plot(rates: Sequence[float], earned: Mapping[str, Sequence[float]]) -> str:
    """The SVG text; `earned` has, by policy, the value earned per second at each of these rates of programs per
    second."""
    most_x, most_y = max(rates), max(value for values in earned.values() for value in values)

    def x(value: float) -> float:
        return round(MARGIN + value / most_x * (WIDTH - 2 * MARGIN), 1)

    def y(value: float) -> float:
        return round(HEIGHT - MARGIN - value / most_y * (HEIGHT - 2 * MARGIN), 1)

    parts = [
        f'<svg xmlns="{SVG}" viewBox="0 0 {WIDTH} {HEIGHT}" font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _line([(x(0), y(0)), (x(most_x), y(0))], "black"),
        _line([(x(0), y(0)), (x(0), y(most_y))], "black"),
        _text(WIDTH / 2, HEIGHT - 12, "programs asked for, a second", "middle"),
        _text(MARGIN, MARGIN - 24, "programs' worth earned, a second", "start"),
    ]
    for tick in range(TICKS + 1):
        share = tick / TICKS
        parts.append(_text(x(share * most_x), y(0) + 18, f"{share * most_x:.0f}", "middle"))
        parts.append(_text(x(0) - 8, y(share * most_y) + 4, f"{share * most_y:.0f}", "end"))
    for number, (name, values) in enumerate(earned.items()):
        colour = COLOURS[number % len(COLOURS)]
        parts.append(_line([(x(rate), y(value)) for rate, value in zip(rates, values, strict=True)], colour))
        parts.append(_text(WIDTH - MARGIN, MARGIN + 16 * number, name, "end", colour))
    return "\n".join([*parts, "</svg>", ""])


def _line(points: Sequence[tuple[float, float]], colour: str) -> str:
    drawn = " ".join(f"{across},{down}" for across, down in points)
    return f'<polyline points="{drawn}" fill="none" stroke="{colour}" stroke-width="1.5"/>'


def _text(across: float, down: float, text: str, anchor: str, colour: str = "black") -> str:
    return f'<text x="{across}" y="{down}" text-anchor="{anchor}" fill="{colour}">{escape(text)}</text>'
