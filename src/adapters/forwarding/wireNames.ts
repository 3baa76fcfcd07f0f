/** What the sockets of forwarding need to know of a deployment's wire: filled in by the deployment's own folder. */
import type { EndpointAttempt, HeaderList, RequestHead } from "../../ports/forwardingPorts.js";
import type { Milliseconds } from "../../utils/clock.js";

/** What the headers of a caller's request say, beside method and path. */
export type CallerFacts = Omit<RequestHead, "id" | "method" | "target" | "arrivedAt"> & { id: string | undefined; };

/** What the headers of an endpoint's answer say. */
export interface AnswerFacts {
    /** The request that it answers. */
    requestId: string | undefined;
    /** Whether it bears the endpoint's signature. */
    signed: boolean;
    /** The endpoint's word that it hasn't run the request. */
    notRun: boolean;
    /** Identifier or address of the endpoint that a refusal is due to. */
    atFault: string | undefined;
    coldFor: Milliseconds | undefined;
    /** Requests a second that the endpoint takes from all entries together; undefined where it names none. */
    limitPerSecond: number | undefined;
    /** Whether its body was changed on the way. */
    encoded: boolean;
    /** Headers that go on to the caller. */
    headers: HeaderList;
}

/** Translates headers between a deployment's wire and the project's types. */
export interface ForwardingWire {
    /** Header that repeats the request's identifier to callers. */
    readonly requestIdHeader: string;
    readCaller(rawHeaders: HeaderList): CallerFacts;
    /** Headers of an order, without those of its connection. */
    orderHeaders(order: EndpointAttempt): string[];
    readAnswer(rawHeaders: HeaderList): AnswerFacts;
}
