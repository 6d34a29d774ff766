"""Export and import of a cached prefix between engines, as a simple pair of calls."""

import base64
import json

from aiohttp import web
from pydantic import BaseModel

from bambootiller_standins._border import read_body
from bambootiller_standins.engine._events import PrefixCache


class PrefixName(BaseModel):
    """The body of ``POST /kv/export``."""

    model: str
    prefix: str


class PrefixBlob(PrefixName):
    """The answer of an export, and the body of ``POST /kv/import``."""

    blob: str


async def export_prefix(request: web.Request, cache: PrefixCache) -> web.Response:
    """Answers with a prefix's cache, or 404 if the engine doesn't hold it."""
    name = await read_body(request, PrefixName)
    if not cache.holds(name.model, name.prefix):
        return web.json_response({"error": "prefix not cached"}, status=404)
    body = name.model_dump() | {"blob": _blob(name)}
    return web.json_response(body)


async def import_prefix(request: web.Request, cache: PrefixCache) -> web.Response:
    """Takes over a prefix's cache, or refuses one that belongs to another prefix."""
    body = await read_body(request, PrefixBlob)
    if body.blob != _blob(body):
        return web.json_response({"error": "blob of another prefix"}, status=400)
    cache.use(body.model, body.prefix)
    return web.json_response({"prefix": body.prefix})


def _blob(name: PrefixName) -> str:
    text = json.dumps([name.model, name.prefix])
    return base64.b64encode(text.encode()).decode("ascii")
