"""Command line interface."""

import asyncio
import hashlib
import signal
import sys
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import typer
from expression import Result

from cranberrysail import __version__, jsonc, logs
from cranberrysail.decisions.tablestate import RowKind
from cranberrysail.errors import ConfigError, CranberryError
from cranberrysail.links.platformlog import HttpLog
from cranberrysail.links.tableeditor import PublishedEdit, TableEditor
from cranberrysail.settings import Settings
from cranberrysail.tables import Tables

__all__ = ["app", "main"]

# Timeout of requests to the log service and to routers.
REQUEST_TIMEOUT_S = 5.0

app = typer.Typer(
    help="A router fleet for large numbers of chats that return after pauses.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
zone_app = typer.Typer(
    help="Take an availability zone out of service or return it to service.",
    no_args_is_help=True,
)
host_app = typer.Typer(
    help="Take a host out of service or return it to service.", no_args_is_help=True
)
app.add_typer(zone_app, name="zone")
app.add_typer(host_app, name="host")

LogOption = Annotated[
    str,
    typer.Option(
        "--log", help="Base URL of the log service.", envvar="CRANBERRYSAIL_LOG"
    ),
]
OperatorsOption = Annotated[
    str,
    typer.Option(
        "--operators",
        help="Base URL of a router's operator listener.",
        envvar="CRANBERRYSAIL_OPERATORS",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        "--token", help="Bearer token of the operators.", envvar="CRANBERRYSAIL_TOKEN"
    ),
]
ReasonOption = Annotated[
    str, typer.Option("--reason", help="Explanation for other operators.")
]


def _unwrap(result: Result[Any, CranberryError]) -> Any:
    """Return the value of a successful result, or raise the error of a failed one."""
    if result.is_error():
        raise result.error
    return result.ok


@app.command()
def run(
    settings: Annotated[Path, typer.Argument(help="Settings file of the router.")],
    log_level: Annotated[str, typer.Option(help="Minimum log level.")] = "INFO",
) -> None:
    """Run a router; SIGTERM or SIGINT shuts it down gracefully."""
    cfg = _unwrap(jsonc.load_model(settings, Settings))
    logs.configure(log_level)
    asyncio.run(_run(cfg))


async def _run(cfg: Settings) -> None:
    from cranberrysail.process import RouterProcess

    router = RouterProcess.from_config(cfg)
    await router.start()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, router.request_stop)
    await router.run()


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="Settings file or tables file.")],
) -> None:
    """Validate a file of settings or tables, and report problems."""
    if jsonc.top_level_keys(file) & {"pools", "routes", "customers"}:
        tables = _unwrap(jsonc.load_model(file, Tables))
        typer.echo(
            f"{file}: valid tables with {len(tables.pools)} pools, "
            f"{len(tables.routes)} routes, {len(tables.customers)} customers"
        )
        return
    cfg = _unwrap(jsonc.load_model(file, Settings))
    typer.echo(f"{file}: valid settings of router {cfg.name}")


@app.command("check-tables")
def check_tables(
    file: Annotated[
        Path, typer.Argument(help="File with the tables of the prepared platform.")
    ],
    against: Annotated[
        Path | None, typer.Option(help="File with the tables in force.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Report problems of tables, and differences from those in force.

    The exit status is 0 if there are no problems, 1 if there are, and 2 if a file
    cannot be read. Differences alone are no problem.
    """
    from cranberrysail.tablereport import check_files

    report = check_files(file, against)
    typer.echo(report.to_json() if as_json else report.to_text())
    raise typer.Exit(report.exit_status)


async def _call_table_editor(
    url: str, operation: Callable[[TableEditor], Any]
) -> Result[PublishedEdit, CranberryError]:
    log = HttpLog(url, REQUEST_TIMEOUT_S)
    try:
        return await operation(TableEditor(log))
    finally:
        await log.close()


def _run_edit(url: str, operation: Callable[[TableEditor], Any]) -> None:
    """Run an operation that edits the tables, and print which rows it changed."""
    published = _unwrap(asyncio.run(_call_table_editor(url, operation)))
    if not published.rows:
        typer.echo(f"nothing to change at version {published.version}")
        return
    typer.echo(f"version {published.version} changes {', '.join(published.rows)}")


@app.command()
def publish(
    tables: Annotated[Path, typer.Argument(help="File with the complete new tables.")],
    log: LogOption,
    base: Annotated[
        int | None,
        typer.Option(
            help="Version that the file is based on; the latest if not given."
        ),
    ] = None,
) -> None:
    """Publish tables to the log; fails if they conflict with a concurrent edit."""
    document = _unwrap(jsonc.load_model(tables, Tables))
    _run_edit(log, lambda client: client.publish(document, base))


def _set_out_of_service(
    kind: RowKind, name: str, url: str, out: bool, reason: str = ""
) -> None:
    _run_edit(url, lambda client: client.set_out_of_service(kind, name, out, reason))


@zone_app.command("out")
def zone_out(name: str, log: LogOption, reason: ReasonOption = "") -> None:
    """Take an availability zone out of service."""
    _set_out_of_service(RowKind.ZONE, name, log, True, reason)


@zone_app.command("in")
def zone_in(name: str, log: LogOption) -> None:
    """Return an availability zone to service."""
    _set_out_of_service(RowKind.ZONE, name, log, False)


@host_app.command("out")
def host_out(name: str, log: LogOption, reason: ReasonOption = "") -> None:
    """Take a host out of service."""
    _set_out_of_service(RowKind.HOST, name, log, True, reason)


@host_app.command("in")
def host_in(name: str, log: LogOption) -> None:
    """Return a host to service."""
    _set_out_of_service(RowKind.HOST, name, log, False)


def _fetch(url: str, token: str, body: bytes | None = None) -> str:
    """Return the body of the response to GET, or to POST if there is a body."""
    request = urllib.request.Request(url, data=body)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as response:
            return response.read().decode()
    except urllib.error.HTTPError as exc:
        raise CranberryError(exc.read().decode().strip()) from exc
    except (OSError, ValueError) as exc:
        raise CranberryError(
            f"{url} does not answer ({exc}); check the address and that the router is "
            "running"
        ) from exc


@app.command()
def dump(operators: OperatorsOption, token: TokenOption = "") -> None:
    """Print the state of a router as JSON."""
    typer.echo(_fetch(f"{operators.rstrip('/')}/dump", token))


@app.command("lift-quarantine")
def lift_quarantine(
    content: Annotated[
        str, typer.Argument(help="Id of the content, as in the state and the log.")
    ],
    router: Annotated[
        str, typer.Option(help="Base URL of the metrics listener of any router.")
    ],
) -> None:
    """Let calls with content on which endpoints crashed be sent again."""
    url = f"{router.rstrip('/')}/quarantine/lift"
    typer.echo(_fetch(url, "", content.encode()).rstrip())


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    operators: Annotated[
        str,
        typer.Option(
            help="Base URL of the operator listener of the router that received it."
        ),
    ] = "",
    token: TokenOption = "",
    logs: Annotated[
        list[str] | None,
        typer.Option(help="Log file of a router; - for standard input."),
    ] = None,
) -> None:
    """Explain step by step how a request was handled."""
    if bool(operators) == bool(logs):
        problem = "specify exactly one of --operators and --logs"
        raise ConfigError("explain", [problem])
    if operators:
        url = f"{operators.rstrip('/')}/explain/{request_id}"
        typer.echo(_fetch(url, token).rstrip())
        return
    from cranberrysail.router.explain import explain_request, parse_lines

    lines = parse_lines(line for name in logs or () for line in _read_lines(name))
    for sentence in explain_request(lines, request_id):
        typer.echo(sentence)


def _read_lines(name: str) -> list[str]:
    """Return the lines of a file, or of standard input if the name is ``-``."""
    if name == "-":
        return sys.stdin.readlines()
    try:
        return Path(name).read_text("utf-8", "replace").splitlines()
    except OSError as exc:
        raise ConfigError(name, [f"cannot be read ({exc}); check the path"]) from exc


@app.command("replay")
def replay_trace(
    trace: Annotated[Path, typer.Argument(help="File with a recorded trace.")],
) -> None:
    """Replay a trace and compare the results with those recorded in it."""
    from cranberrysail.simulation.traces import load_trace, replay

    result = replay(_unwrap(load_trace(trace)))
    for name, value in sorted(result.readings.items()):
        typer.echo(f"{name}: {value:g}")
    for difference in result.differences:
        typer.echo(f"differs: {difference}", err=True)
    raise typer.Exit(1 if result.differences else 0)


@app.command("hash-key")
def hash_key() -> None:
    """Read a key or token from standard input and print its SHA-256."""
    typer.echo(hashlib.sha256(sys.stdin.readline().strip().encode()).hexdigest())


@app.command("make-keys")
def make_keys() -> None:
    """Print a new key pair for peer traffic, in the form that the settings use."""
    import zmq

    public, secret = zmq.curve_keypair()
    typer.echo(f'{{"public": "{public.decode()}", "secret": "{secret.decode()}"}}')


@app.command()
def demo() -> None:
    """Run a small fleet against simulated services, and check its guarantees."""
    from cranberrysail.demo.demo import run_demo

    logs.configure("ERROR")
    raise typer.Exit(asyncio.run(run_demo()))


@app.command()
def bench(
    sheet: Annotated[
        Path,
        typer.Argument(
            help="File with the kinds of calls, the engines and the routers."
        ),
    ],
    rate: Annotated[
        float, typer.Option(help="Factor for the arrival rates of the sheet.")
    ] = 1.0,
    seed: Annotated[int, typer.Option(help="Random seed.")] = 1,
    routers: Annotated[
        int | None, typer.Option(min=1, help="Number of routers, not the sheet's.")
    ] = None,
    policy: Annotated[
        list[str] | None,
        typer.Option(help="Policy to run; may be repeated. All policies if not given."),
    ] = None,
    arrivals: Annotated[
        Path | None,
        typer.Option(help="File with recorded arrivals to use instead of random ones."),
    ] = None,
    record: Annotated[
        Path | None, typer.Option(help="File to write the arrivals to.")
    ] = None,
    plots: Annotated[
        Path | None, typer.Option(help="Directory for the charts.")
    ] = None,
) -> None:
    """Simulate calls to model engines under each policy, and compare the results."""
    from cranberrysail import benchmark

    cfg = _unwrap(jsonc.load_model(sheet, benchmark.SimulationConfig))
    if routers is not None:
        cfg = cfg.model_copy(update={"routers": routers})
    if arrivals is None:
        calls = benchmark.generate_arrivals(cfg, rate, seed)
    else:
        calls = benchmark.read_arrivals(arrivals, cfg)
    if record is not None:
        benchmark.write_arrivals(record, calls)
    simulations = {}
    for name in policy or benchmark.POLICIES.names():
        instance = benchmark.POLICIES.get(name)()
        simulation = benchmark.Simulation(cfg, calls, instance, seed, rate)
        simulations[name] = simulation.run()
    title = f"{sheet.stem}-{rate:g}"
    typer.echo(f"{title} times its rate, seed {seed}, {len(calls)} calls\n")
    typer.echo(benchmark.results_table(simulations))
    typer.echo(f"\n{benchmark.balance_table(simulations)}")
    if plots is not None:
        for path in benchmark.write_plots(simulations, plots, title):
            typer.echo(f"\nwrote {path}")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command line; print errors to standard error."""
    try:
        # The exit status of a command that ends with typer.Exit is returned.
        sys.exit(app(standalone_mode=False))
    except CranberryError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(exc.exit_code)
    except LookupError:
        raise
    except Exception as exc:
        # Usage errors of Click print themselves and have an exit code of their own.
        show = getattr(exc, "show", None)
        if show is None:
            raise
        show()
        sys.exit(getattr(exc, "exit_code", 1))
