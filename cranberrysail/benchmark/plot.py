"""Line charts as SVG text."""

from dataclasses import dataclass
from html import escape

__all__ = ["Line", "chart"]

WIDTH = 720
HEIGHT = 300
LEFT = 60
RIGHT = 190
TOP = 30
BOTTOM = 40
TICKS = 5
# Colours that colour-blind readers can tell apart (Okabe and Ito).
COLOURS = (
    "#0072b2",
    "#d55e00",
    "#009e73",
    "#cc79a7",
    "#e69f00",
    "#56b4e9",
    "#000000",
    "#999999",
    "#8c510a",
    "#5e3c99",
    "#b8860b",
    "#666633",
)


@dataclass(frozen=True)
class Line:
    """A named line of points."""

    name: str
    points: list[tuple[float, float]]


def chart(title: str, x_name: str, y_name: str, lines: list[Line]) -> str:
    """Return a chart.

    Args:
      title: What it shows.
      x_name: What the horizontal axis holds, with its unit.
      y_name: What the vertical axis holds, with its unit.
      lines: At most twelve lines.
    """
    points = [point for line in lines for point in line.points]
    x_most = max((x for x, _ in points), default=1.0) or 1.0
    y_most = max((y for _, y in points), default=1.0) or 1.0
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        f'font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{LEFT}" y="18" font-size="13">{escape(title)}</text>',
        *_axes(x_name, y_name, x_most, y_most),
    ]
    for number, line in enumerate(lines):
        parts += _line(number, line, x_most, y_most)
    return "\n".join([*parts, "</svg>"]) + "\n"


def _x(value: float, most: float) -> float:
    return LEFT + (WIDTH - LEFT - RIGHT) * value / most


def _y(value: float, most: float) -> float:
    return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * value / most


def _axes(x_name: str, y_name: str, x_most: float, y_most: float) -> list[str]:
    right, bottom = WIDTH - RIGHT, HEIGHT - BOTTOM
    parts = [
        f'<text x="{(LEFT + right) / 2:.0f}" y="{HEIGHT - 8}" '
        f'text-anchor="middle">{escape(x_name)}</text>',
        f'<text x="14" y="{(TOP + bottom) / 2:.0f}" text-anchor="middle" '
        f'transform="rotate(-90 14 {(TOP + bottom) / 2:.0f})">{escape(y_name)}</text>',
    ]
    for tick in range(TICKS + 1):
        share = tick / TICKS
        x, y = _x(share * x_most, x_most), _y(share * y_most, y_most)
        parts += [
            f'<line x1="{LEFT}" y1="{y:.1f}" x2="{right}" y2="{y:.1f}" stroke="#ddd"/>',
            f'<text x="{LEFT - 6}" y="{y + 4:.1f}" text-anchor="end">'
            f"{share * y_most:.3g}</text>",
            f'<text x="{x:.1f}" y="{bottom + 15}" text-anchor="middle">'
            f"{share * x_most:.3g}</text>",
        ]
    return parts


def _line(number: int, line: Line, x_most: float, y_most: float) -> list[str]:
    colour = COLOURS[number % len(COLOURS)]
    points = " ".join(
        f"{_x(x, x_most):.1f},{_y(y, y_most):.1f}" for x, y in line.points
    )
    y = TOP + 14 * number
    x = WIDTH - RIGHT + 12
    return [
        f'<polyline points="{points}" fill="none" stroke="{colour}" '
        f'stroke-width="1.5"/>',
        f'<line x1="{x}" y1="{y}" x2="{x + 18}" y2="{y}" stroke="{colour}" '
        f'stroke-width="3"/>',
        f'<text x="{x + 24}" y="{y + 4}">{escape(line.name)}</text>',
    ]
