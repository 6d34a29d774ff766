"""The stand-ins of a fleet as child processes: what each is started with."""

from dataclasses import dataclass, field
from pathlib import Path

from bambootiller_standins.engine import EngineConfig
from bambootiller_standins.harness._names import standin_command
from bambootiller_standins.harness._process import ProcessSpec

KEY_VALUE = "kv"
INSTANCE_LIST = "list"
WEIGHT_STORE = "weights"
STATSD = "statsd"


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """The fleet's platform; rates are calls a second, 0 for no limit."""

    writes_per_second: float = 0
    reads_per_second: float = 0
    list_lag_ms: float = 0
    weight_store: bool = False
    weight_store_full_speed: int = 4
    statsd: bool = False
    env: dict[str, str] = field(default_factory=dict)


def key_value_spec(options: PlatformOptions) -> ProcessSpec:
    """Returns how the key-value service is started."""
    flags = (
        f"--writes-per-second={options.writes_per_second}",
        f"--reads-per-second={options.reads_per_second}",
    )
    return ProcessSpec(KEY_VALUE, standin_command("keyvalue", *flags), {})


def instance_list_spec(options: PlatformOptions) -> ProcessSpec:
    """Returns how the instance list is started."""
    flag = f"--lag-ms={options.list_lag_ms}"
    return ProcessSpec(INSTANCE_LIST, standin_command("instancelist", flag), {})


def weight_store_spec(options: PlatformOptions) -> ProcessSpec:
    """Returns how the weight store is started."""
    flag = f"--full-speed={options.weight_store_full_speed}"
    return ProcessSpec(WEIGHT_STORE, standin_command("weightstore", flag), {})


def statsd_spec() -> ProcessSpec:
    """Returns how the metrics sink is started."""
    return ProcessSpec(STATSD, standin_command("statsd"), {})


def platform_specs(options: PlatformOptions) -> list[ProcessSpec]:
    """Returns how all of the platform's processes are started."""
    specs = [key_value_spec(options), instance_list_spec(options)]
    if options.weight_store:
        specs.append(weight_store_spec(options))
    if options.statsd:
        specs.append(statsd_spec())
    return specs


def engine_spec(name: str, cfg: EngineConfig, folder: Path) -> ProcessSpec:
    """Returns how an engine is started; its settings are written to *folder*."""
    path = folder / f"{name}.json"
    path.write_text(cfg.model_dump_json(exclude_none=True), encoding="utf-8")
    return ProcessSpec(name, standin_command("engine", f"--config={path}"), {})


def service_spec(name: str, before_ms: float, after_ms: float) -> ProcessSpec:
    """Returns how a plain service is started."""
    flags = (f"--before-ms={before_ms}", f"--after-ms={after_ms}")
    return ProcessSpec(name, standin_command("plainservice", *flags), {})


def on_port(spec: ProcessSpec, port: int) -> ProcessSpec:
    """Returns a stand-in's start with the port that it had before."""
    return ProcessSpec(spec.name, (*spec.command, f"--port={port}"), spec.env)
