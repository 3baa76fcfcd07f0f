/** Interface between forwarding and the headers of a deployment. The folder of the deployment implements it. */
import type { EndpointAttempt, EndpointReport, HeaderList, RequestHead } from "../../ports/forwardingPorts.js";

import type { EndpointRecord } from "../../types/routing.js";

/** Contents of the headers of a request from a caller, without method and path. */
export type RequestFacts = Omit<RequestHead, "id" | "method" | "target" | "arrivedAt"> & { id: string | undefined; };

/** Contents of the headers of a response from an endpoint. */
export interface ResponseFacts {
    /** Identifier of the request that the response belongs to. */
    requestId: string | undefined;
    /** Whether the response has the signature header of an endpoint. */
    isSigned: boolean;
    /** Whether the endpoint guarantees that it has not run the request. */
    guaranteesNotRun: boolean;
    /** Identifier or address of the endpoint that caused a refusal. */
    atFault: string | undefined;
    /** What the endpoint reports about itself. */
    report: EndpointReport;
    /** Whether the body was encoded in transit, which a content-encoding header shows. */
    isEncoded: boolean;
    /** Headers that are forwarded to the caller. */
    headers: HeaderList;
}

/** Converts between the headers of a deployment and the types of this project. */
export interface ForwardingWire {
    /** Name of the response header that returns the request identifier to callers. */
    readonly requestIdHeader: string;
    readRequest(rawHeaders: HeaderList): RequestFacts;
    /** Returns the headers of an attempt, without connection headers. */
    attemptHeaders(attempt: EndpointAttempt): string[];
    /** Returns the headers of a health check that only `endpoint` itself passes. */
    healthHeaders(endpoint: EndpointRecord): string[];
    /** The identifier in a response to a health check; undefined where there is none. */
    readHealthyEndpoint(rawHeaders: HeaderList): string | undefined;
    readResponse(status: number, rawHeaders: HeaderList): ResponseFacts;
}
