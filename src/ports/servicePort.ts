/** The port through which the core calls plain services. */
import { DandelionrampError, EndpointReport } from "../internal.js";

/** A caller's request to forward. */
export interface ServiceRequest {
    method: string;
    /** Path and query, relative to the service. */
    path: string;
    contentType?: string;
    body: Buffer;
    requestId: string;
    idempotencyKey?: string;
}

/** The service's complete response. */
export interface ServiceResponse {
    status: number;
    contentType?: string;
    body: Buffer;
}

/** The connection failed before the response was complete. */
export class ServiceLostError extends DandelionrampError {
    /** `written` is false only if no byte of the request was sent. */
    constructor(message: string, readonly written: boolean, options?: ErrorOptions) {
        super(message, options);
    }
}

/** The service refused the call before running it. */
export class ServiceRefusedError extends DandelionrampError {}

/** Calls to the plain service at an address. */
export interface ServicePort {
    report(address: string): Promise<EndpointReport>;
    /** Throws {@link ServiceLostError} or {@link ServiceRefusedError}. */
    call(address: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse>;
}
