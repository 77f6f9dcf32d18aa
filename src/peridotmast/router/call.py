"""A caller's request, read from JSON and checked."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import json
import re
import typing as ty
import uuid

from google.protobuf import json_format

from peridotmast import failures
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb

MAX_ID = 120
_ID = re.compile(r'[A-Za-z0-9._:-]+')
_DEADLINES_MS = {
    pb.WORK_INTERACTIVE: 30_000,
    pb.WORK_STANDARD: 60_000,
    pb.WORK_DRAFT: 600_000,
}
_DEFAULT_MAX_TOKENS = 256


@dataclasses.dataclass
class Call:
    """One request as the router works on it."""

    key: ids.RequestKey
    request_id: str
    team: str
    work: pb.Work
    idempotent: bool
    deadline: int
    """Moment on the router's clock by which it must be answered, in ms."""
    digest: bytes
    """Digest of the body; two requests of one id must agree in it."""
    body: dict[str, ty.Any]
    """The body as it was received, to be passed on to a peer."""
    model: str = ''
    adapter: str = ''
    prompt: str = ''
    max_tokens: int = 0
    stream: bool = False
    service: str = ''
    service_call: str = ''
    payload: str = ''
    resume: ty.Optional[pb.ResumePoint] = None
    traceparent: str = ''
    entered: int = 0
    """Moment of arrival on the router's clock, in ms."""

    @functools.cached_property
    def stream_id(self) -> ids.StreamId:
        """Id of the stream on any engine: the same at every router."""
        text = f'{self.key}|'.encode() + self.digest
        digest = hashlib.blake2b(text, digest_size=12)
        return ids.StreamId(digest.hexdigest())


def read_chat(
    body: bytes, now: int, config: pb.Config, headers: dict[str, str]
) -> ty.Union[Call, failures.Failure]:
    """Return the call that a chat-completions body asks for."""
    read = _read(body, headers, pb.ChatRequest())
    if isinstance(read, failures.Failure):
        return read
    data, req = read
    model = next((m for m in config.models if m.name == req.model), None)
    if model is None:
        return failures.invalid('unknown_model', req.model[:80])
    if req.adapter and req.adapter not in model.adapters:
        return failures.invalid('unknown_adapter', req.adapter[:80])
    wrong = _check_common(req, config)
    if wrong is not None:
        return wrong
    max_tokens = req.max_tokens or min(_DEFAULT_MAX_TOKENS, model.max_tokens)
    if not 1 <= max_tokens <= model.max_tokens:
        return failures.invalid(
            'max_tokens', f'must be from 1 to {model.max_tokens}'
        )
    if not req.messages:
        return failures.invalid('messages', 'at least one is needed')
    prompt = '\n'.join(f'{m.role}: {m.content}' for m in req.messages)
    parts = (req.model, req.adapter, prompt, max_tokens)
    call = _common(req, data, repr(parts).encode(), now)
    if isinstance(call, failures.Failure):
        return call
    call.model, call.adapter, call.prompt = req.model, req.adapter, prompt
    call.max_tokens, call.stream = max_tokens, req.stream
    if req.HasField('resume'):
        call.resume = req.resume
        if not 0 <= req.resume.position <= max_tokens:
            return failures.invalid('position', 'beyond the answer')
    return call


def read_service(
    body: bytes,
    service: str,
    name: str,
    now: int,
    config: pb.Config,
    headers: dict[str, str],
) -> ty.Union[Call, failures.Failure]:
    """Return the call that a plain service is asked for."""
    read = _read(body, headers, pb.ServiceRequest())
    if isinstance(read, failures.Failure):
        return read
    data, req = read
    wrong = _check_common(req, config)
    if wrong is not None:
        return wrong
    parts = (service, name, req.payload)
    call = _common(req, data, repr(parts).encode(), now)
    if isinstance(call, failures.Failure):
        return call
    call.service, call.service_call = service, name
    call.payload = req.payload
    return call


def _json(
    body: bytes, headers: dict[str, str]
) -> ty.Union[dict[str, ty.Any], failures.Failure]:
    try:
        data = json.loads(body or b'{}')
    except (ValueError, RecursionError) as exc:
        return failures.invalid('malformed', f'not JSON: {exc}')
    if not isinstance(data, dict):
        return failures.invalid('malformed', 'must be a JSON object')
    for name, value in headers.items():
        if value:
            data.setdefault(name, value)
    if isinstance(data.get('work'), str):
        name = 'WORK_' + data['work'].upper().removeprefix('WORK_')
        if name not in pb.Work.keys():
            return failures.invalid('work', 'interactive, standard or draft')
        data['work'] = name
    return data


def _read(
    body: bytes, headers: dict[str, str], req: ty.Any
) -> ty.Union[tuple[dict[str, ty.Any], ty.Any], failures.Failure]:
    """Return the body as JSON and as the message `req`."""
    data = _json(body, headers)
    if isinstance(data, failures.Failure):
        return data
    try:
        json_format.ParseDict(data, req, ignore_unknown_fields=True)
    except (json_format.ParseError, ValueError) as exc:
        return failures.invalid('malformed', str(exc)[:200])
    return data, req


def _check_common(
    req: ty.Any, config: pb.Config
) -> ty.Optional[failures.Failure]:
    if all(team.name != req.team for team in config.teams):
        return failures.invalid('unknown_team', req.team[:80])
    if req.deadline_ms < 0:
        return failures.invalid('deadline_past', 'deadline_ms is negative')
    if req.request_id and (
        len(req.request_id) > MAX_ID or not _ID.fullmatch(req.request_id)
    ):
        return failures.invalid(
            'request_id', f'at most {MAX_ID} of A-Z a-z 0-9 . _ : -'
        )
    return None


def _common(
    req: ty.Any, data: dict[str, ty.Any], content: bytes, now: int
) -> ty.Union[Call, failures.Failure]:
    work = req.work or pb.WORK_STANDARD
    if work not in _DEADLINES_MS:
        return failures.invalid('work', 'interactive, standard or draft')
    request_id = req.request_id or uuid.uuid4().hex
    idempotent = req.idempotent if req.HasField('idempotent') else True
    content += b'|%d' % idempotent
    return Call(
        key=ids.request_key(req.team, request_id),
        request_id=request_id,
        team=req.team,
        work=work,
        idempotent=idempotent,
        deadline=now + (req.deadline_ms or _DEADLINES_MS[work]),
        digest=hashlib.blake2b(content, digest_size=12).digest(),
        body=data,
        entered=now,
    )
