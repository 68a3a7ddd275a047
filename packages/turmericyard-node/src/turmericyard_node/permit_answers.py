"""Denials of permits, and the release of an unused permit."""

from turmericyard_protocol.messages import (
    EndpointLoad,
    PermitDenied,
    PermitGrant,
    PermitRelease,
    PermitRequest,
)

#: Time after which a denied node may request again when it is not notified of
#: free capacity, in seconds.
RETRY_SECONDS = 0.05
NO_LOAD = EndpointLoad(0, 0, 0)

PermitAnswer = PermitGrant | PermitDenied


def unused_release(request: PermitRequest) -> PermitRelease:
    """Return the release of a permit that won't be used."""
    return PermitRelease(
        request.endpoint,
        request.work,
        request.product,
        request.workspace,
        healthy=False,
    )


def deny(
    endpoint: str, detail: str, load: EndpointLoad = NO_LOAD
) -> PermitDenied:
    """Return a denial; `detail` says why."""
    return PermitDenied(endpoint, detail, RETRY_SECONDS, load)
