/**
 * Identifies a request by its content. A caller that sends a request again gives it a new identifier, so that only its
 * content shows that it is the same.
 */
import { createHash } from "node:crypto";
import type { ForwardedRequest } from "../../ports/forwardingPorts.js";

const separator = "\n";
const headDigestLength = 8;
const bodyDigestLength = 12;

const digest = (length: number, content: string | Uint8Array): string =>
    createHash("sha256").update(content).digest("base64url").slice(0, length);

/** The part of a fingerprint that identifies the head of the request. */
export const headOfFingerprint = (fingerprint: string): string => fingerprint.slice(0, headDigestLength);

/** Identifies one request. Each part is computed when it is first needed, because a body may be megabytes long. */
export class RequestFingerprint {
    private headDigest: string | undefined;
    private bodyDigest: string | undefined;

    constructor(private readonly request: ForwardedRequest, private readonly customer: string | undefined) {}

    /** Digest of method, host, path and customer. Requests with different heads are different. */
    get head(): string {
        const { method, host, target } = this.request;
        this.headDigest ??= digest(headDigestLength, [method, host, target, this.customer ?? ""].join(separator));
        return this.headDigest;
    }

    /** The whole fingerprint, with the digest of the body. */
    get value(): string {
        this.bodyDigest ??= digest(bodyDigestLength, this.request.body);
        return this.head + this.bodyDigest;
    }
}
