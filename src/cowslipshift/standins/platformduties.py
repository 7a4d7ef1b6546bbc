"""Stand-in for the part of a platform that takes calls of one host's duty.

It refuses tokens lower than one that it has seen, and records each call.
Tests can make it answer with an error.
"""

from __future__ import annotations

from aiohttp import web
import msgspec

from cowslipshift.duties import model
from cowslipshift.platform import names


class DutyCall(msgspec.Struct, frozen=True):
    """A call as it arrived.

    Attributes:
        host: The holder that it names.
        token: Its fencing token.
        report: The usage report.
        status: How it was answered.
    """

    host: str
    token: int
    report: model.UsageReport
    status: int


class PlatformDutiesStandIn:
    """Calls and their answers.

    Attributes:
        status: Status that each call gets instead of its answer; 0 for none.
        calls: All calls, in order.
    """

    def __init__(self) -> None:
        self.status = 0
        self.calls: list[DutyCall] = []
        self._highest_token = 0

    def list_accepted(self) -> list[DutyCall]:
        """Return the calls that were executed."""
        return [call for call in self.calls if call.status == 200]

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_post(names.USAGE_PATH, self._serve_usage)
        return application

    async def _serve_usage(self, request: web.Request) -> web.Response:
        report = msgspec.json.decode(
            await request.read(), type=model.UsageReport
        )
        token = int(request.headers[names.FENCING_TOKEN_HEADER])
        status = self.status
        if not status:
            status = 409 if token < self._highest_token else 200
            self._highest_token = max(token, self._highest_token)
        host = request.headers[names.DUTY_HOLDER_HEADER]
        self.calls.append(DutyCall(host, token, report, status))
        return web.Response(status=status)
