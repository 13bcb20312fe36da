"""The `ferrydeck-standin` command, which runs one stand-in."""

from __future__ import annotations

import argparse
import sys

from ferrydeck.standins import app_server, kv_store, platform, target


def parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    root = argparse.ArgumentParser(
        prog="ferrydeck-standin",
        description="Run a stand-in service for the demo and the tests.",
        epilog="example: ferrydeck-standin target --port 7101 --slots 20",
    )
    subparsers = root.add_subparsers(dest="kind", required=True)
    platform_cmd = subparsers.add_parser("platform", help="the key-value service")
    platform_cmd.add_argument("--port", type=int, action="append", required=True)
    target_cmd = subparsers.add_parser("target", help="a backend")
    target_cmd.add_argument("--port", type=int, required=True)
    target_cmd.add_argument("--slots", type=int, default=100)
    target_cmd.add_argument("--service-ms", type=float, default=5.0)
    target_cmd.add_argument("--cold-start-s", type=float, default=0.0)
    target_cmd.add_argument("--local", default="", help="local endpoint, IP:PORT")
    store_cmd = subparsers.add_parser("store", help="the platform's store")
    store_cmd.add_argument("--port", type=int, required=True)
    server_cmd = subparsers.add_parser("server", help="an application server")
    server_cmd.add_argument("--port", type=int, required=True)
    server_cmd.add_argument("--service", required=True)
    server_cmd.add_argument("--zone", default="hall-a")
    server_cmd.add_argument("--reports", required=True, help="daemon address, IP:PORT")
    server_cmd.add_argument("--slots", type=int, default=8)
    server_cmd.add_argument("--work-ms", type=float, default=2.0)
    server_cmd.add_argument("--instance", default="", help="instance id; default: new")
    for one in (platform_cmd, target_cmd, store_cmd, server_cmd):
        one.add_argument("--ip", default="127.0.0.1")
    return root


def main(argv: list[str] | None = None) -> int:
    """Run `ferrydeck-standin` until it is terminated."""
    args = parser().parse_args(argv)
    if args.kind == "store":
        kv_store.KvStore(ip=args.ip, port=args.port).run()
        return 0
    if args.kind == "server":
        app_server.AppServer(
            ip=args.ip,
            port=args.port,
            instance=args.instance or app_server.new_instance(),
            service=args.service,
            zone=args.zone,
            reports=args.reports,
            slots=args.slots,
            work_s=args.work_ms / 1000,
        ).run()
        return 0
    if args.kind == "platform":
        platform.Platform(ip=args.ip, ports=args.port).run()
        return 0
    behaviour = target.Behaviour(
        slots=args.slots, service_ms=args.service_ms, cold_start_s=args.cold_start_s
    )
    target.Target(
        ip=args.ip, ports=[args.port], behaviour=behaviour, local=args.local
    ).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
