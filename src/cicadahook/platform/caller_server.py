"""Callers' wire format: request heads, readiness and address calls."""

from aiohttp import web
import multidict

from cicadahook.core import tenants
from cicadahook.net import address_directory
from cicadahook.net import caller_server
from cicadahook.net import client_server
from cicadahook.net import header_fields
from cicadahook.platform import headers as header_names

listen = client_server.listen


class HeadDecoder:
    """Implements `caller_server.HeadDecoder`."""

    id_header = header_names.REQUEST_ID
    tenant_header = header_names.TENANT
    reserved = header_names.RESERVED_HEADERS
    identifying = header_names.IDENTITY_HEADERS

    def decode(
        self, headers: "multidict.CIMultiDictProxy[str]", path: str
    ) -> caller_server.RequestHead:
        """Return what the head of a request says.

        Raises:
            ValueError: a header is malformed, or comes twice.
        """
        if repeated := header_fields.find_repeated(
            headers, header_names.SINGLE_HEADERS
        ):
            raise ValueError(f"{repeated} twice")
        # Two keys together are no key of any tenant.
        key = ",".join(headers.getall(header_names.KEY, ()))
        return caller_server.RequestHead(
            id=headers.get(header_names.REQUEST_ID, ""),
            host=headers.get("Host", ""),
            path=path,
            time_limit=header_names.decode_time_limit(headers),
            generation=header_names.decode_generation(headers),
            last_event_id=headers.get(header_names.LAST_EVENT_ID, ""),
            resumed_id=headers.get(header_names.RESUMED_REQUEST_ID, ""),
            key_digest=tenants.digest_key(key) if key else "",
        )


class AddressEndpoints:
    """Answers the platform's readiness checks and callers' address requests."""

    def __init__(self, addresses: address_directory.AddressDirectory) -> None:
        self.addresses = addresses

    async def handle_ready(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer with status 200 if this node is ready, else with 503."""
        del request
        return web.Response(status=200 if self.addresses.is_ready() else 503)

    async def handle_resolve(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer with the addresses to send requests to, and their lifetime."""
        if request.path != "/resolve":
            return web.Response(status=404)
        query = request.query
        answer = self.addresses.resolve(
            query.get("zone", ""), query.get("region", "")
        )
        if not answer.addresses:
            return web.Response(status=503)
        return web.json_response(
            {
                "addresses": list(answer.addresses),
                "ttl_s": answer.lifetime.total_seconds(),
            }
        )
