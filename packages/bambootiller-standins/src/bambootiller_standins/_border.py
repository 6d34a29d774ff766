"""Reading JSON bodies at the border of a stand-in."""

import json
from typing import TypeVar

import pydantic
from aiohttp import web

Model = TypeVar("Model", bound=pydantic.BaseModel)


async def read_body(request: web.Request, model: type[Model]) -> Model:
    """Returns the request's body as *model*, or raises the 400 answer that names each
    bad field.
    """
    raw = await request.read()
    try:
        return model.model_validate_json(raw or b"{}")
    except pydantic.ValidationError as exc:
        text = json.dumps({"error": exc.errors(include_url=False, include_input=False)})
        raise web.HTTPBadRequest(text=text, content_type="application/json") from exc
