"""Minimal HTTP relay that serves as the baseline of the benchmark."""

import argparse
import asyncio
import contextlib
import itertools

import aiohttp
import uvloop
from aiohttp import web

__all__ = ["make_app"]


def make_app(upstreams: list[str]) -> web.Application:
    """Return an application that relays requests to the upstreams in turn."""
    next_upstreams = itertools.cycle(upstreams)
    sessions: list[aiohttp.ClientSession] = []

    async def open_session(app: web.Application) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        sessions.append(aiohttp.ClientSession(connector=connector))

    async def close_session(app: web.Application) -> None:
        await sessions[0].close()

    async def relay(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {"Content-Type": request.content_type}
        url = next(next_upstreams) + request.path
        async with sessions[0].post(url, data=body, headers=headers) as answer:
            response = web.StreamResponse(status=answer.status)
            response.content_type = answer.content_type
            await response.prepare(request)
            async for data in answer.content.iter_any():
                await response.write(data)
            await response.write_eof()
            return response

    app = web.Application(client_max_size=64 << 20)
    app.router.add_post("/{path:.*}", relay)
    app.on_startup.append(open_session)
    app.on_cleanup.append(close_session)
    return app


def main() -> None:
    """Run the relay until it is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--upstream", nargs="+", required=True)
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")

    async def run() -> None:
        app = make_app(arguments.upstream)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        await asyncio.Event().wait()

    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(run())


if __name__ == "__main__":
    main()
