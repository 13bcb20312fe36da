"""`ferrydeck-standin`: starts a stand-in for the platform or for a target."""

from __future__ import annotations

import argparse
import sys

from ferrydeck.standins import app_server, kv_store, platform, target


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    made = argparse.ArgumentParser(
        prog="ferrydeck-standin",
        description="Small stand-ins for the demo and the tests.",
        epilog="example: ferrydeck-standin target --port 7101 --slots 20",
    )
    kinds = made.add_subparsers(dest="kind", required=True)
    for_platform = kinds.add_parser("platform", help="the key-value service")
    for_platform.add_argument("--port", type=int, action="append", required=True)
    for_target = kinds.add_parser("target", help="a back end")
    for_target.add_argument("--port", type=int, required=True)
    for_target.add_argument("--slots", type=int, default=100)
    for_target.add_argument("--service-ms", type=float, default=5.0)
    for_target.add_argument("--cold-start-s", type=float, default=0.0)
    for_target.add_argument("--local", default="", help="local endpoint, IP:PORT")
    for_store = kinds.add_parser("store", help="the platform's store")
    for_store.add_argument("--port", type=int, required=True)
    for_server = kinds.add_parser("server", help="a server of the platform")
    for_server.add_argument("--port", type=int, required=True)
    for_server.add_argument("--service", required=True)
    for_server.add_argument("--zone", default="hall-a")
    for_server.add_argument("--reports", required=True, help="a daemon, IP:PORT")
    for_server.add_argument("--slots", type=int, default=8)
    for_server.add_argument("--work-ms", type=float, default=2.0)
    for_server.add_argument("--instance", default="", help="its id; none: a new one")
    for one in (for_platform, for_target, for_store, for_server):
        one.add_argument("--ip", default="127.0.0.1")
    return made


def main(argv: list[str] | None = None) -> int:
    """Run `ferrydeck-standin` until it is ended."""
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
