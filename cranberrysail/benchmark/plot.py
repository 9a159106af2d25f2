"""Line charts in SVG."""

from dataclasses import dataclass
from html import escape

__all__ = ["Series", "line_chart"]

WIDTH = 720
HEIGHT = 300
LEFT_MARGIN = 60
RIGHT_MARGIN = 190
TOP_MARGIN = 30
BOTTOM_MARGIN = 40
TICKS = 5
# Distinguishable with colour vision deficiency: the palette of Okabe and Ito, extended.
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
class Series:
    """A named data series."""

    name: str
    points: list[tuple[float, float]]


def line_chart(title: str, x_label: str, y_label: str, series: list[Series]) -> str:
    """Return a line chart as SVG text.

    Args:
      title: Title of the chart.
      x_label: Label of the horizontal axis, with its unit.
      y_label: Label of the vertical axis, with its unit.
      series: Data series. The colours repeat after twelve.
    """
    points = [point for line in series for point in line.points]
    x_max = max((x for x, _ in points), default=1.0) or 1.0
    y_max = max((y for _, y in points), default=1.0) or 1.0
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        f'font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{LEFT_MARGIN}" y="18" font-size="13">{escape(title)}</text>',
        *_axes(x_label, y_label, x_max, y_max),
    ]
    for index, line in enumerate(series):
        parts += _series_elements(index, line, x_max, y_max)
    return "\n".join([*parts, "</svg>"]) + "\n"


def _x_position(value: float, max_value: float) -> float:
    return LEFT_MARGIN + (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) * value / max_value


def _y_position(value: float, max_value: float) -> float:
    return (
        HEIGHT
        - BOTTOM_MARGIN
        - (HEIGHT - TOP_MARGIN - BOTTOM_MARGIN) * value / max_value
    )


def _axes(x_label: str, y_label: str, x_max: float, y_max: float) -> list[str]:
    right, bottom = WIDTH - RIGHT_MARGIN, HEIGHT - BOTTOM_MARGIN
    parts = [
        f'<text x="{(LEFT_MARGIN + right) / 2:.0f}" y="{HEIGHT - 8}" '
        f'text-anchor="middle">{escape(x_label)}</text>',
        f'<text x="14" y="{(TOP_MARGIN + bottom) / 2:.0f}" text-anchor="middle" '
        f'transform="rotate(-90 14 {(TOP_MARGIN + bottom) / 2:.0f})">'
        f"{escape(y_label)}</text>",
    ]
    for tick in range(TICKS + 1):
        fraction = tick / TICKS
        x, y = (
            _x_position(fraction * x_max, x_max),
            _y_position(fraction * y_max, y_max),
        )
        parts += [
            f'<line x1="{LEFT_MARGIN}" y1="{y:.1f}" x2="{right}" y2="{y:.1f}" '
            f'stroke="#ddd"/>',
            f'<text x="{LEFT_MARGIN - 6}" y="{y + 4:.1f}" text-anchor="end">'
            f"{fraction * y_max:.3g}</text>",
            f'<text x="{x:.1f}" y="{bottom + 15}" text-anchor="middle">'
            f"{fraction * x_max:.3g}</text>",
        ]
    return parts


def _series_elements(
    index: int, series: Series, x_max: float, y_max: float
) -> list[str]:
    colour = COLOURS[index % len(COLOURS)]
    points = " ".join(
        f"{_x_position(x, x_max):.1f},{_y_position(y, y_max):.1f}"
        for x, y in series.points
    )
    y = TOP_MARGIN + 14 * index
    x = WIDTH - RIGHT_MARGIN + 12
    return [
        f'<polyline points="{points}" fill="none" stroke="{colour}" '
        f'stroke-width="1.5"/>',
        f'<line x1="{x}" y1="{y}" x2="{x + 18}" y2="{y}" stroke="{colour}" '
        f'stroke-width="3"/>',
        f'<text x="{x + 24}" y="{y + 4}">{escape(series.name)}</text>',
    ]
