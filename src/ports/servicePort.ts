/** What the core needs of a plain service. */
import { DandelionrampError, EndpointReport } from "../internal.js";

/** A call to pass on. */
export interface ServiceRequest {
    method: string;
    /** Path and query below the service. */
    path: string;
    contentType?: string;
    body: Buffer;
    requestId: string;
    idempotencyKey?: string;
}

/** The service's whole answer. */
export interface ServiceResponse {
    status: number;
    contentType?: string;
    body: Buffer;
}

/** The call failed without a whole answer. */
export class ServiceLostError extends DandelionrampError {
    /** `written` is false only when no byte of the request left this process. */
    constructor(message: string, readonly written: boolean, options?: ErrorOptions) {
        super(message, options);
    }
}

/** The service itself refused before running the call. */
export class ServiceRefusedError extends DandelionrampError {}

/** A plain service at an address. */
export interface ServicePort {
    report(address: string): Promise<EndpointReport>;
    /** Throws {@link ServiceLostError} or {@link ServiceRefusedError}. */
    call(address: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse>;
}
