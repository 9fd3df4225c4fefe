"""Event fields that allow a bundle in force to be audited from the logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.bundle.codec import chunk_digest, manifest_digest, split_content

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Bundle


def audit_fields(bundle: Bundle) -> dict[str, object]:
    """Return the event fields from which a bundle in force can be verified.

    ``content_digest`` is computed from the decoded content that requests are routed
    by, not copied from the manifest.
    """
    manifest, content = bundle.manifest, bundle.content
    chunks = [chunk_digest(chunk) for chunk in split_content(content)]
    return {
        "version": manifest.version,
        "digest": manifest.digest,
        "content_digest": manifest_digest(
            manifest.version, chunks, manifest.author, manifest.token
        ),
        "key_id": manifest.key_id,
        "signature": manifest.signature.hex(),
        "services": sorted(service.name for service in content.services),
        "routed_services": sorted({route.service for route in content.routes}),
    }
